import type { Clock } from '@pulleystack/core.clock'

/** A timeout counts as usual while it occurs in this window or the one before; each route gets many requests in it. */
const WINDOW_MS = 10_000
/** Smaller deviations from the usual timeout are rounding by clients, not retries. */
const TOLERANCE_SHARE = 0.03

interface RouteTimeouts {
  windowStartedAt: number
  longestTimeoutMs: number
  previousLongestMs: number
}

/**
 * Estimates how long ago clients first tried a request. A client reduces its timeout by the time spent on earlier attempts, so the difference to the
 * route's usual timeout is the time since the first attempt, whichever instance rejected it.
 */
export class RetryEstimator {
  private readonly routes = new Map<string, RouteTimeouts>()

  constructor (private readonly clock: Clock) {}

  /** Records the timeout of a request; returns the milliseconds since its first attempt, 0 for a first attempt. */
  estimateElapsedMs (route: string, timeoutMs: number): number {
    const timeouts = this.updateWindow(route)
    timeouts.longestTimeoutMs = Math.max(timeouts.longestTimeoutMs, timeoutMs)
    const usualMs = Math.max(timeouts.longestTimeoutMs, timeouts.previousLongestMs)
    return timeoutMs < usualMs * (1 - TOLERANCE_SHARE) ? usualMs - timeoutMs : 0
  }

  private updateWindow (route: string): RouteTimeouts {
    const now = this.clock.readTime()
    const timeouts = this.routes.get(route) ?? { windowStartedAt: now, longestTimeoutMs: 0, previousLongestMs: 0 }
    if (now - timeouts.windowStartedAt >= WINDOW_MS) {
      timeouts.previousLongestMs = timeouts.longestTimeoutMs
      timeouts.longestTimeoutMs = 0
      timeouts.windowStartedAt = now
    }
    this.routes.set(route, timeouts)
    return timeouts
  }
}
