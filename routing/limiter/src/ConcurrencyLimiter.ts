/** What one finished request tells about its backend server. */
export interface LimiterSample {
  /** Milliseconds to the first byte, less what the request's own size explains. */
  firstByteMs: number
  /** Requests that this instance had there when it was sent. */
  inFlight: number
  /** Requests that the server last reported as waiting, as a share of its places. */
  waitingShare: number
  /** Smoothed milliseconds that a request holds a place there. */
  serviceMs: number
  /** The server refused for lack of room, or timed out. */
  overloaded: boolean
  /** Monotone time of the sample. */
  now: number
}

/** Decides how many requests of this instance may be at one backend server. */
export abstract class ConcurrencyLimiter {
  abstract get limit (): number
  abstract addSample (sample: LimiterSample): void
}
