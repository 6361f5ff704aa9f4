/** Observations from one finished request at a backend server. */
export interface LimiterSample {
  /** Milliseconds to the first byte, without the part due to the request's own size. */
  firstByteMs: number
  /** Requests of this instance in flight at the server when this one was sent. */
  inFlight: number
  /** Waiting requests in the last report of the server, as a fraction of its slots. */
  waitingShare: number
  /** Smoothed milliseconds that a request occupies a slot there. */
  serviceMs: number
  /** True if the server rejected the request for lack of capacity or timed out. */
  overloaded: boolean
  /** Monotonic time of the sample in milliseconds. */
  now: number
}

/** Limits the requests of this instance in flight at one backend server. */
export abstract class ConcurrencyLimiter {
  abstract get limit (): number
  abstract addSample (sample: LimiterSample): void
}
