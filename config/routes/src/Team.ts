/** Unit of a team's quota. */
export const QuotaUnits = { REQUESTS: 'requests', TOKENS: 'tokens' } as const
export type QuotaUnit = typeof QuotaUnits[keyof typeof QuotaUnits]

/** Rate limit of a team over all instances. */
export interface TeamQuota {
  unit: QuotaUnit
  ratePerSecond: number
  /** Units that may be used in addition at once, after a pause. */
  burst: number
  /** Tokens counted for a request that doesn't state a number of tokens. */
  plainTokens: number
}

/** A team, whose callers present one of its access keys. */
export interface Team {
  name: string
  /** SHA-256 of each key, in hexadecimal; the keys themselves are not stored. */
  keyHashes: readonly string[]
  /** Overrides the priority of a route; undefined to use the route's. */
  priority: number | undefined
  /** Undefined for a team without a limit. */
  quota: TeamQuota | undefined
}

/** Units that a request counts towards its team's quota; `tokens` is undefined if the request doesn't state a number of tokens. */
export function countUnits (quota: TeamQuota, tokens: number | undefined): number {
  if (quota.unit === QuotaUnits.REQUESTS) return 1
  return tokens ?? quota.plainTokens
}
