/** What a team's quota counts. */
export const QuotaUnits = { REQUESTS: 'requests', TOKENS: 'tokens' } as const
export type QuotaUnit = typeof QuotaUnits[keyof typeof QuotaUnits]

/** How much a team may ask for, over all instances together. */
export interface TeamQuota {
  unit: QuotaUnit
  /** Units a second. */
  ratePerSecond: number
  /** Units beside those, after a pause. */
  burst: number
  /** What a request that names no tokens counts, where tokens are counted. */
  plainTokens: number
}

/** A team whose callers show one of its access keys. */
export interface Team {
  name: string
  /** SHA-256 of each key, in hexadecimal; the keys themselves are not kept. */
  keyHashes: readonly string[]
  /** Goes before the priority of a route; undefined where the route's counts. */
  priority: number | undefined
  /** Undefined for a team without limit. */
  quota: TeamQuota | undefined
}

/** What one request counts toward its team's quota; `tokens` is undefined for a request that names none. */
export function countUnits (quota: TeamQuota, tokens: number | undefined): number {
  if (quota.unit === QuotaUnits.REQUESTS) return 1
  return tokens ?? quota.plainTokens
}
