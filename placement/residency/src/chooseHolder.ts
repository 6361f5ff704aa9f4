import { findOwner } from '@pulleystack/core.hashing'

/** An instance that can hold the lease. */
export interface HolderCandidate {
  instance: string
  /** Available processor cores. */
  capacity: number
}

/** Chooses one of the candidates with the most processor cores, as planning for many servers takes processor time. */
export function chooseHolder (candidates: readonly HolderCandidate[]): string | undefined {
  const maxCapacity = Math.max(...candidates.map((candidate) => candidate.capacity))
  return findOwner('residency', candidates.filter((candidate) => candidate.capacity === maxCapacity).map((candidate) => candidate.instance))
}
