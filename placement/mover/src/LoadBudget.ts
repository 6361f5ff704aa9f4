import type { Clock } from '@pulleystack/core.clock'

const BURST = 2

/** A shard's part of the weight store's loads a second and at once. */
export class LoadBudget {
  private tokens: number
  private at: number

  constructor (private readonly opts: { clock: Clock, loadsPerSecond: number, loadsAtOnce: number }) {
    this.tokens = BURST
    this.at = opts.clock.readTime()
  }

  /** Loads that may start now, beside those on their way. */
  countAvailable (underWay: number): number {
    const now = this.opts.clock.readTime()
    this.tokens = Math.min(BURST + this.opts.loadsPerSecond, this.tokens + (now - this.at) / 1000 * this.opts.loadsPerSecond)
    this.at = now
    return Math.max(0, Math.min(Math.floor(this.tokens), Math.floor(this.opts.loadsAtOnce) - underWay))
  }

  take (count: number): void {
    this.tokens -= count
  }
}
