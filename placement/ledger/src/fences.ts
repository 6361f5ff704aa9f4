import { readEpoch, readRevision } from '@pulleystack/backend.interfaces'

/** Fences of one epoch of the store. */
const FENCES_PER_EPOCH = 2 ** 20

/** Least fence that is given out in an epoch; 0 in the first one. */
export function computeFirstFence (epoch: number): number {
  return epoch * FENCES_PER_EPOCH
}

/**
 * The fence of a new holder, higher than that of the record which it takes over and than any that was given out before: also in a history that the store
 * has lost, and in a record that was overwritten, since both have lower versions.
 */
export function computeNextFence (standing: number, version: number): number {
  const epoch = readEpoch(version)
  if (epoch === 0) return standing + 1
  const ofVersion = computeFirstFence(epoch) + Math.min(readRevision(version), FENCES_PER_EPOCH - 1)
  return Math.max(standing, ofVersion) + 1
}
