/** Load of one or more instances on a backend server. */
export interface LoadTally {
  /** Requests in flight. */
  running: number
  /** Prompt tokens that the server has yet to process. */
  prefillTokens: number
  /** KV cache tokens that running requests may use in total. */
  cacheTokens: number
  /** Running requests during which a server crashed before. */
  suspects: number
}

export const NO_LOAD: LoadTally = Object.freeze({ running: 0, prefillTokens: 0, cacheTokens: 0, suspects: 0 })

export function sumTallies (tallies: Iterable<LoadTally>): LoadTally {
  const sum = { ...NO_LOAD }
  for (const tally of tallies) {
    sum.running += tally.running
    sum.prefillTokens += tally.prefillTokens
    sum.cacheTokens += tally.cacheTokens
    sum.suspects += tally.suspects
  }
  return sum
}
