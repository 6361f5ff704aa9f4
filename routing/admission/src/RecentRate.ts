import type { Clock } from '@pulleystack/core.clock'

/** Time constant of the exponential decay; shorter than a burst of requests. */
const TIME_CONSTANT_MS = 2_000

/** Recent rates of events by name. */
export class RecentRate {
  private readonly counts = new Map<string, { weight: number, updatedAt: number }>()

  constructor (private readonly clock: Clock) {}

  add (name: string): void {
    this.counts.set(name, { weight: this.readWeight(name) + 1, updatedAt: this.clock.readTime() })
  }

  /** Events per second. */
  read (name: string): number {
    return this.readWeight(name) * 1_000 / TIME_CONSTANT_MS
  }

  private readWeight (name: string): number {
    const count = this.counts.get(name)
    return count ? count.weight * Math.exp((count.updatedAt - this.clock.readTime()) / TIME_CONSTANT_MS) : 0
  }
}
