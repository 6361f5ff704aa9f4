import { rankMembers } from '@pulleystack/core.hashing'

export interface SubsetMember {
  instance: string
  dataHall: string
  region: string
  address: string
}

const REQUESTS_PER_SECOND_PER_INSTANCE = 400
const MIN_DATA_HALLS = 2

/** Returns the number of instances that a service needs for its declared traffic. */
export function computeSubsetSize (requestsPerSecond: number | undefined, minSize: number): number {
  return Math.max(minSize, Math.ceil((requestsPerSecond ?? 0) / REQUESTS_PER_SECOND_PER_INSTANCE))
}

/**
 * Chooses the instances that serve a service by rendezvous hashing. If all are in one data hall, the lowest ranked is replaced
 * by an instance of another. Adding or removing a member changes at most one entry.
 */
export function chooseSubset<T extends SubsetMember> (service: string, members: readonly T[], size: number): T[] {
  const ranked = rankMembers(`serve/${service}`, members, (member) => member.instance)
  const chosen = ranked.slice(0, size)
  const halls = new Set(chosen.map((member) => member.dataHall))
  if (halls.size >= MIN_DATA_HALLS || chosen.length < MIN_DATA_HALLS) return chosen
  const elsewhere = ranked.slice(size).find((member) => !halls.has(member.dataHall))
  return elsewhere ? [...chosen.slice(0, -1), elsewhere] : chosen
}
