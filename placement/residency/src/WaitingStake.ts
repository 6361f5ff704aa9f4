/** What loading a model in time is worth to one request that waits for it. */
export interface WaitingStake {
  /** Milliseconds until the request misses its latency target; 0 or less when it has. */
  dueMs: number
  /** Milliseconds until the request can't be served any more. */
  expiresMs: number
  /** Worth of serving it in time, relative to a request of the most urgent class. */
  weight: number
}
