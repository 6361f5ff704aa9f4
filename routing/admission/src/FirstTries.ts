import type { Clock } from '@pulleystack/core.clock'

/** A time is usual for as long as it has been seen in this window or the one before, in milliseconds; requests of a route come many times in it. */
const WINDOW_MS = 10_000
/** Less than this share of the usual time is missing from a first try by chance; clients write whole milliseconds and differ in nothing else. */
const CHANCE_SHARE = 0.03

interface Seen {
  windowStartedAt: number
  longestMs: number
  longestBeforeMs: number
}

/**
 * How long ago clients tried first. A client counts its time down over its tries, so that what is missing from the time that clients of the route
 * usually give has passed since its first one. Credit counts from there, whoever refused the request before.
 */
export class FirstTries {
  private readonly routes = new Map<string, Seen>()

  constructor (private readonly clock: Clock) {}

  /** Notes the time that a client gives one request; gives the milliseconds since its first try, 0 for a first one. */
  noteTry (route: string, waitMs: number): number {
    const seen = this.turn(route)
    seen.longestMs = Math.max(seen.longestMs, waitMs)
    const usualMs = Math.max(seen.longestMs, seen.longestBeforeMs)
    return waitMs < usualMs * (1 - CHANCE_SHARE) ? usualMs - waitMs : 0
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
