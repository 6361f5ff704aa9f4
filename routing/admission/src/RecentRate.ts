import type { Clock } from '@pulleystack/core.clock'

/** Events count less the older they are, by this time constant in milliseconds: bursts of the users' days last three to five seconds. */
const TIME_CONSTANT_MS = 2_000

/** Events a second in the last moments, by name. */
export class RecentRate {
  private readonly counts = new Map<string, { weight: number, at: number }>()

  constructor (private readonly clock: Clock) {}

  add (name: string): void {
    this.counts.set(name, { weight: this.readWeight(name) + 1, at: this.clock.readTime() })
  }

  /** Events a second. */
  read (name: string): number {
    return this.readWeight(name) * 1_000 / TIME_CONSTANT_MS
  }

  private readWeight (name: string): number {
    const count = this.counts.get(name)
    return count ? count.weight * Math.exp((count.at - this.clock.readTime()) / TIME_CONSTANT_MS) : 0
  }
}
