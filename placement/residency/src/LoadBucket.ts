import type { Clock } from '@pulleystack/core.clock'

/** Loads that may begin at once after a rest; the platform's ceiling allows three beyond its rate in any window. */
const CAPACITY = 3

/** Lets loads from the weight store begin at a steady rate with small bursts; empty at first, since another may have just loaded. */
export class LoadBucket {
  private level = 0
  private updatedAt: number

  constructor (private readonly clock: Clock, private readonly readRate: () => number) {
    this.updatedAt = clock.readTime()
  }

  /** Takes the right to one load; false when none may begin now. */
  take (): boolean {
    this.refill()
    if (this.level < 1) return false
    this.level--
    return true
  }

  /** Milliseconds until a load may begin. */
  get waitMs (): number {
    this.refill()
    const rate = this.readRate()
    return this.level >= 1 ? 0 : rate > 0 ? (1 - this.level) / rate * 1000 : Infinity
  }

  /** Empties it, as after a change of holder. */
  drain (): void {
    this.level = 0
    this.updatedAt = this.clock.readTime()
  }

  private refill (): void {
    const now = this.clock.readTime()
    this.level = Math.min(CAPACITY, this.level + (now - this.updatedAt) / 1000 * this.readRate())
    this.updatedAt = now
  }
}
