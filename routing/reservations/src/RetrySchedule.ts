/**
 * Longest extension of a retry time, in milliseconds. Requests before this one may have gone to other servers, for which the server must not wait: with
 * 200 ms, a simulated server at 1.1 times its capacity served 8 % less.
 */
const MAX_EXTENSION_MS = 50

/** Spreads the retries of rejected requests. Without it, all that wait for a server would ask again at each release. */
export class RetrySchedule {
  /** Latest retry by priority, as monotonic time in milliseconds. */
  private readonly latest = new Map<number, number>()

  /** Returns the milliseconds until a request should be repeated: at least `earliestMs`, and `gapMs` after those of its class and more urgent ones. */
  add (priority: number, { earliestMs, gapMs }: { earliestMs: number, gapMs: number }, now: number): number {
    let at = now + earliestMs
    for (const [other, latest] of this.latest) if (other <= priority) at = Math.max(at, latest + gapMs)
    at = Math.min(at, now + earliestMs + MAX_EXTENSION_MS)
    this.latest.set(priority, at)
    return at - now
  }
}
