/** Permits at this instance, each for one request to a server that advertises a limit. Times are monotonic, in milliseconds. */
export class PermitPool {
  /** Expiry times in ascending order. */
  private readonly expiries: number[] = []
  /** When more permits are expected; in the past if unknown. */
  nextExpectedAt = -Infinity
  /** Whether a request for more permits is pending. */
  hasPendingRequest = false
  /** Earliest time to request more permits again. */
  nextRequestAt = -Infinity

  count (now: number): number {
    return this.expiries.filter((until) => until > now).length
  }

  /** Uses one permit; returns false if there is none. */
  take (now: number): boolean {
    const index = this.expiries.findIndex((until) => until > now)
    if (index < 0) return false
    this.expiries.splice(index, 1)
    return true
  }

  put (count: number, expiresAt: number): void {
    for (let index = 0; index < count; index++) this.expiries.push(expiresAt)
    this.expiries.sort((a, b) => a - b)
  }

  /** Drops expired permits; returns their number. */
  dropExpired (now: number): number {
    const firstValid = this.expiries.findIndex((until) => until > now)
    return this.expiries.splice(0, firstValid < 0 ? this.expiries.length : firstValid).length
  }
}
