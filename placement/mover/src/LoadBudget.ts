import type { Clock } from '@pulleystack/core.clock'

const BURST_LOADS = 2

/** Limits the loads that a shard starts from the weight store, by rate and by number in progress. */
export class LoadBudget {
  private tokens: number
  private refilledAt: number

  constructor (private readonly opts: { clock: Clock, loadsPerSecond: number, loadsAtOnce: number }) {
    this.tokens = BURST_LOADS
    this.refilledAt = opts.clock.readTime()
  }

  /** Counts the loads that may start now, in addition to those in progress. */
  countAvailable (inProgress: number): number {
    const now = this.opts.clock.readTime()
    this.tokens = Math.min(BURST_LOADS + this.opts.loadsPerSecond, this.tokens + (now - this.refilledAt) / 1000 * this.opts.loadsPerSecond)
    this.refilledAt = now
    return Math.max(0, Math.min(Math.floor(this.tokens), Math.floor(this.opts.loadsAtOnce) - inProgress))
  }

  take (count: number): void {
    this.tokens -= count
  }
}
