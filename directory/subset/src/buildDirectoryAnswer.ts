import type { SubsetMember } from './chooseSubset.js'

export interface DirectoryAddress {
  address: string
  dataHall: string
  /** Relative share of the caller's requests for this address. */
  weight: number
}

export interface DirectoryAnswer {
  service: string
  addresses: DirectoryAddress[]
  /** Seconds for which the addresses remain served, including during planned stops. */
  lifetimeSeconds: number
}

const WEIGHTS = { SAME_HALL: 100, SAME_REGION: 40, ELSEWHERE: 5 } as const

/** Builds the answer for a caller in the given region and data hall: weighted addresses, nearest first. */
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

function computeWeight (member: SubsetMember, caller: { region?: string, dataHall?: string }): number {
  if (caller.dataHall === undefined || member.dataHall === caller.dataHall) return WEIGHTS.SAME_HALL
  if (caller.region === undefined || member.region === caller.region) return WEIGHTS.SAME_REGION
  return WEIGHTS.ELSEWHERE
}
