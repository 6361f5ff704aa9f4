/** What one or more instances have in hand at one backend server. */
export interface LoadTally {
  /** Requests sent and not ended. */
  running: number
  /** Prompt tokens that the server has still to read. */
  prefillTokens: number
  /** Tokens that running requests may come to hold in the KV cache. */
  cacheTokens: number
  /** Running requests under which a server has ended before. */
  suspects: number
}

/** A tally of nothing. */
export const NO_LOAD: LoadTally = Object.freeze({ running: 0, prefillTokens: 0, cacheTokens: 0, suspects: 0 })

/** The sum of tallies. */
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
