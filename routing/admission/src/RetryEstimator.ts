import type { Clock } from '@pulleystack/core.clock'

/** A timeout counts as usual while it occurs in this window or the one before; each route gets many requests in it. */
const WINDOW_MS = 10_000
/** Smaller deviations from the usual timeout are rounding by clients, not retries. */
const TOLERANCE_SHARE = 0.03
/** Timeouts this close to the longest one count as equal to it. */
const EQUAL_SHARE = 0.005
/** Share of requests with the longest timeout from which it counts as that of all first attempts; some two of three requests may be retries. */
const MIN_USUAL_SHARE = 0.2
const MIN_USUAL_COUNT = 2

interface TimeoutWindow {
  longestMs: number
  requests: number
  /** Requests with about the longest timeout. */
  longestCount: number
}

interface RouteTimeouts {
  windowStartedAt: number
  current: TimeoutWindow
  previous: TimeoutWindow
}

/**
 * Estimates how long ago clients first tried a request. A client reduces its timeout by the time spent on earlier attempts, so the difference to the
 * route's usual timeout is the time since the first attempt, whichever instance rejected it. Where each client has a timeout of its own, a shorter one
 * says nothing, and every request counts as a first attempt.
 */
export class RetryEstimator {
  private readonly routes = new Map<string, RouteTimeouts>()

  constructor (private readonly clock: Clock) {}

  /** Records the timeout of a request; returns the milliseconds since its first attempt, 0 for a first attempt. */
  estimateElapsedMs (route: string, timeoutMs: number): number {
    const { current, previous } = this.updateWindow(route)
    addTimeout(current, timeoutMs)
    const usual = current.longestMs >= previous.longestMs * (1 - EQUAL_SHARE) ? current : previous
    if (!isCommon(usual)) return 0
    return timeoutMs < usual.longestMs * (1 - TOLERANCE_SHARE) ? usual.longestMs - timeoutMs : 0
  }

  private updateWindow (route: string): RouteTimeouts {
    const now = this.clock.readTime()
    const timeouts = this.routes.get(route) ?? { windowStartedAt: now, current: createWindow(), previous: createWindow() }
    if (now - timeouts.windowStartedAt >= WINDOW_MS) {
      timeouts.previous = timeouts.current
      timeouts.current = createWindow()
      timeouts.windowStartedAt = now
    }
    this.routes.set(route, timeouts)
    return timeouts
  }
}

function createWindow (): TimeoutWindow {
  return { longestMs: 0, requests: 0, longestCount: 0 }
}

function addTimeout (window: TimeoutWindow, timeoutMs: number): void {
  window.requests++
  if (timeoutMs > window.longestMs * (1 + EQUAL_SHARE)) window.longestCount = 0
  window.longestMs = Math.max(window.longestMs, timeoutMs)
  if (timeoutMs >= window.longestMs * (1 - EQUAL_SHARE)) window.longestCount++
}

/** Whether clients share the longest timeout. */
function isCommon ({ requests, longestCount }: TimeoutWindow): boolean {
  return longestCount >= MIN_USUAL_COUNT && longestCount >= requests * MIN_USUAL_SHARE
}
