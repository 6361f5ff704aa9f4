import { listRanked } from '@pulleystack/core.hashing'

export interface SubsetMember {
  instance: string
  dataHall: string
  region: string
  address: string
}

/** Requests a second that one instance is reckoned to carry, from the benchmark of the entry path with a margin. */
const REQUESTS_PER_INSTANCE = 400
const LEAST_DATA_HALLS = 2

/** Instances that a service needs for its declared traffic. */
export function computeSubsetSize (requestsPerSecond: number | undefined, least: number): number {
  return Math.max(least, Math.ceil((requestsPerSecond ?? 0) / REQUESTS_PER_INSTANCE))
}

/**
 * The instances that serve a service: the highest ranked for its name, with the lowest of them given up for one
 * of another data hall when all stand in one. A member that comes or goes changes at most its own place.
 */
export function chooseSubset<T extends SubsetMember> (service: string, members: readonly T[], size: number): T[] {
  const ranked = listRanked(`serve/${service}`, members, (member) => member.instance)
  const chosen = ranked.slice(0, size)
  const halls = new Set(chosen.map((member) => member.dataHall))
  if (halls.size >= LEAST_DATA_HALLS || chosen.length < LEAST_DATA_HALLS) return chosen
  const elsewhere = ranked.slice(size).find((member) => !halls.has(member.dataHall))
  return elsewhere ? [...chosen.slice(0, -1), elsewhere] : chosen
}
