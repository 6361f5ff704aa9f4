/** How far two monotone clocks may run apart: both slewed the other way by the 500 ppm that a time daemon may. */
const MAX_DRIFT = 0.001

/**
 * By how much a peer's monotone clock is ahead of the own one, bounded from above. An echo took no less than no time on its way
 * to the peer, so that the peer's time on its arrival, less the own time on its sending, is such a bound; the least is kept.
 */
export class TimeOffset {
  /** The bound, and the own time from which the clocks may have run apart since. */
  private least: { ms: number, at: number } | undefined

  /** Takes an echo: own time of sending, the peer's of its answer, and how long the peer held it. */
  noteEcho (echo: { sentAt: number, theirTime: number, heldMs: number }, now: number): void {
    const ms = echo.theirTime - echo.heldMs - echo.sentAt
    if (!Number.isFinite(ms)) return
    if (this.least === undefined || ms <= this.readMost(this.least, now) || this.isRefuted(echo.theirTime, now)) this.least = { ms, at: echo.sentAt }
  }

  /** The latest own time that surely is not after a time of the peer's; undefined before the first echo. */
  convert (theirTime: number, now: number): number | undefined {
    return this.least && theirTime - this.readMost(this.least, now)
  }

  /**
   * Whether the peer's clock is further ahead than the bound allows: the answer was written no later than it was read. The own clock has stood still then,
   * as it does while the machine is suspended, and the bound would show news of the peer as fresher than they are for as long as the link lasts.
   */
  private isRefuted (theirTime: number, now: number): boolean {
    return this.least !== undefined && theirTime - now > this.readMost(this.least, now)
  }

  private readMost (least: { ms: number, at: number }, now: number): number {
    return least.ms + (now - least.at) * MAX_DRIFT
  }
}
