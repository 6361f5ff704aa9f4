import type { Clock } from '@pulleystack/core.clock'

/** A time is usual for as long as it has been seen in this window or the one before, in milliseconds; requests of a route come many times in it. */
const WINDOW_MS = 10_000
/** A request with less than this share of the usual time has spent the rest of it before, since clients count down over their attempts. */
const RETURNING_SHARE = 0.97

interface Seen {
  windowStartedAt: number
  longestMs: number
  longestBeforeMs: number
}

/** The time that clients usually give the requests of each route, by which those that were refused before and came back are known. */
export class UsualWaits {
  private readonly routes = new Map<string, Seen>()

  constructor (private readonly clock: Clock) {}

  /** Notes the time that a client gives one request; true when it most likely asks again after a refusal. */
  noteWait (route: string, waitMs: number): boolean {
    const seen = this.turn(route)
    seen.longestMs = Math.max(seen.longestMs, waitMs)
    return waitMs < Math.max(seen.longestMs, seen.longestBeforeMs) * RETURNING_SHARE
  }

  private turn (route: string): Seen {
    const now = this.clock.readTime()
    const seen = this.routes.get(route) ?? { windowStartedAt: now, longestMs: 0, longestBeforeMs: 0 }
    if (now - seen.windowStartedAt >= WINDOW_MS) {
      seen.longestBeforeMs = seen.longestMs
      seen.longestMs = 0
      seen.windowStartedAt = now
    }
    this.routes.set(route, seen)
    return seen
  }
}
