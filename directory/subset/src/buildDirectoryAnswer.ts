import type { SubsetMember } from './chooseSubset.js'

export interface DirectoryAddress {
  address: string
  dataHall: string
  /** Share of a caller's requests that should go there, relative to the others. */
  weight: number
}

export interface DirectoryAnswer {
  service: string
  addresses: DirectoryAddress[]
  /** Seconds for which the addresses are served, planned stops included. */
  lifetimeSeconds: number
}

const WEIGHTS = { SAME_HALL: 100, SAME_REGION: 40, ELSEWHERE: 5 } as const

/** What a caller in a place is told: nearest first, all with a weight, for a stated time. */
export function buildDirectoryAnswer (opts: {
  service: string
  members: readonly SubsetMember[]
  region?: string
  dataHall?: string
  lifetimeSeconds: number
}): DirectoryAnswer {
  const addresses = opts.members.map((member) => ({ address: member.address, dataHall: member.dataHall, weight: computeWeight(member, opts) }))
  addresses.sort((a, b) => b.weight - a.weight || a.address.localeCompare(b.address))
  return { service: opts.service, addresses, lifetimeSeconds: opts.lifetimeSeconds }
}

function computeWeight (member: SubsetMember, place: { region?: string, dataHall?: string }): number {
  if (place.dataHall === undefined || member.dataHall === place.dataHall) return WEIGHTS.SAME_HALL
  if (place.region === undefined || member.region === place.region) return WEIGHTS.SAME_REGION
  return WEIGHTS.ELSEWHERE
}
