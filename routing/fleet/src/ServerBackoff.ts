/** Longest backoff; a server that is away for longer should drain. */
const MAX_BACKOFF_MS = 3_600_000
/** Requests allowed after a backoff before the first response. */
const INITIAL_ALLOWANCE = 1
/** Further requests allowed for each response, which doubles the number in each round. */
const ALLOWANCE_PER_RESPONSE = 2
/** Responses to requests of the ramp-up after which it ends: four doublings. */
const RESPONSES_UNTIL_UNLIMITED = 15

/** A request sent under the ramp-up allowance. */
export interface RampUpRequest {
  /** Records that the server responds; returns whether more requests may follow. */
  recordResponse: () => boolean
  /** Ends the request; if there was no response, its allowance is returned. */
  end: () => void
}

/**
 * The backoff that a server requested from this instance, and the ramp-up after it: one request at first, then twice as many with each round of
 * responses, so that waiting requests don't all reach the server at once. Times are monotonic, in milliseconds.
 */
export class ServerBackoff {
  private until = -Infinity
  private allowance = Infinity
  private responseCount = 0
  /** Number of backoffs requested so far. */
  private backoffCount = 0

  /** Backs off for the given time, unless the current backoff ends later; returns whether the backoff was extended. */
  extend (ms: number, now: number): boolean {
    const until = now + Math.min(MAX_BACKOFF_MS, ms)
    if (ms <= 0 || until <= this.until) return false
    this.until = until
    this.allowance = INITIAL_ALLOWANCE
    this.responseCount = 0
    this.backoffCount++
    return true
  }

  isActive (now: number): boolean {
    return now < this.until
  }

  /** Remaining backoff in milliseconds; 0 if there is none. */
  readRemainingMs (now: number): number {
    return Math.max(0, this.until - now)
  }

  /** Whether the ramp-up after a backoff allows one more request. */
  hasAllowance (): boolean {
    return this.allowance >= 1
  }

  /** Uses the allowance for one request. */
  takeAllowance (): RampUpRequest {
    const { backoffCount } = this
    let isSettled = false
    this.allowance--
    const settle = (returned: number): boolean => {
      // Requests sent before the backoff don't count for the ramp-up after it.
      if (isSettled || backoffCount !== this.backoffCount || this.allowance === Infinity) return false
      isSettled = true
      this.allowance += returned
      return true
    }
    return {
      recordResponse: () => {
        if (!settle(ALLOWANCE_PER_RESPONSE)) return false
        this.responseCount++
        if (this.responseCount >= RESPONSES_UNTIL_UNLIMITED) this.allowance = Infinity
        return true
      },
      end: () => void settle(1),
    }
  }
}
