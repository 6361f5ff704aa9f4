import type { Clock } from '@pulleystack/core.clock'

/** Loads that may start at once; the weight store allows three beyond its rate in any window. */
const BURST_LOADS = 3

/** Token bucket for loads from the weight store. It starts empty, because an earlier lease holder may have used up the limit. */
export class LoadBucket {
  private tokens = 0
  private updatedAt: number

  constructor (private readonly clock: Clock, private readonly readLoadsPerSecond: () => number) {
    this.updatedAt = clock.readTime()
  }

  /** Takes the permit for one load; false when no load may start now. */
  take (): boolean {
    this.refill()
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }

  /** Milliseconds until a load may start. */
  get waitMs (): number {
    this.refill()
    const rate = this.readLoadsPerSecond()
    return this.tokens >= 1 ? 0 : rate > 0 ? (1 - this.tokens) / rate * 1000 : Infinity
  }

  /** Empties the bucket, as needed after a change of lease holder. */
  drain (): void {
    this.tokens = 0
    this.updatedAt = this.clock.readTime()
  }

  private refill (): void {
    const now = this.clock.readTime()
    this.tokens = Math.min(BURST_LOADS, this.tokens + (now - this.updatedAt) / 1000 * this.readLoadsPerSecond())
    this.updatedAt = now
  }
}
