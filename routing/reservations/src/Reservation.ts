/** One request at one server, as known to the instance that sends it or to the owner of the server's ledger. */
export interface Reservation {
  /** Unique among all attempts of all instances. */
  id: string
  /** Whether the sending instance still waits for the owner's answer. */
  isPending: boolean
  /** Prompt tokens that the server has yet to process; 0 once it has. */
  readTokens: number
  /** KV cache tokens for the prompt and the expected output. */
  cacheTokens: number
  /** The part of `cacheTokens` that is expected output, and may turn out to be more. */
  outputTokens: number
  /** 0 is the most urgent class. */
  priority: number
  /** Whether it can wait for several slots to become free and still meet its latency target. */
  isDeferrable: boolean
  team: string | undefined
  /** Longest pause between events that the route allows, in milliseconds. */
  longestPauseMs: number | undefined
  /** Monotonic time in milliseconds, by the clock of the instance that holds this object. */
  expiresAt: number
}
