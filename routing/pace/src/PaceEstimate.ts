/** Estimated pace of one server. */
export interface PaceEstimate {
  /** Prompt tokens processed per millisecond at present; lowered during a slow spell. */
  tokensPerMs: number
  /** Milliseconds per event of a stream; raised during a slow spell. */
  eventMs: number
  /** 0 without samples, approaching 1 with many recent ones. */
  confidence: number
  /** Whether the server is at least twice slower than its lasting pace. */
  isSlowNow: boolean
}

/** Estimate for a server of which nothing is known, while nothing is known of the others either. */
export const DEFAULT_PACE: PaceEstimate = Object.freeze({ tokensPerMs: 30, eventMs: 25, confidence: 0, isSlowNow: false })
