/** Maximum relative drift of two clocks, each slewed by up to 500 ppm in opposite directions. */
const MAX_DRIFT = 0.001

/**
 * An upper bound of how far a peer's monotonic clock is ahead of the own one. As the way to the peer takes at least no time, the peer's time at the
 * arrival of an echo minus the own time at its sending is such a bound; the lowest is kept.
 */
export class TimeOffset {
  /** The bound, and the own time since when the clocks may have drifted. */
  private bound: { ms: number, at: number } | undefined

  /** Records an echo: the own time of sending, the peer's time of its answer, and how long the peer held it, in ms. */
  recordEcho (echo: { sentAt: number, peerTime: number, heldMs: number }, now: number): void {
    const ms = echo.peerTime - echo.heldMs - echo.sentAt
    if (!Number.isFinite(ms)) return
    if (this.bound === undefined || ms <= this.computeBound(this.bound, now) || this.isRefuted(echo.peerTime, now)) this.bound = { ms, at: echo.sentAt }
  }

  /** Converts a peer's time to the latest own time that is guaranteed not to be after it; undefined before the first echo. */
  convert (peerTime: number, now: number): number | undefined {
    return this.bound && peerTime - this.computeBound(this.bound, now)
  }

  /**
   * Whether the peer's clock is further ahead than the bound allows, as after a suspension of this machine, during which its clock stood still. The
   * bound would then make the peer's data appear fresher than it is.
   */
  private isRefuted (peerTime: number, now: number): boolean {
    return this.bound !== undefined && peerTime - now > this.computeBound(this.bound, now)
  }

  private computeBound (bound: { ms: number, at: number }, now: number): number {
    return bound.ms + (now - bound.at) * MAX_DRIFT
  }
}
