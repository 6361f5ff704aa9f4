import type { Clock } from '@pulleystack/core.clock'

/** Bytes a second that one use may put on the own link: a quarter of 10 Mbit/s, the narrowest that sites have. */
const BYTES_PER_SECOND = 320_000
/** Bytes that may go at once: 0.1 s of the same link, which calls to the store and heartbeats can wait. */
const BURST_BYTES = 128_000

/** What one use may put on the own link; unused bytes are earned back with time. */
export class ByteBudget {
  private left = BURST_BYTES
  private countedAt: number

  constructor (private readonly clock: Clock) {
    this.countedAt = clock.readTime()
  }

  /** Takes bytes; false, and nothing is taken, when there are not so many. */
  tryTake (bytes: number): boolean {
    this.refill()
    if (bytes > this.left) return false
    this.left -= bytes
    return true
  }

  /** Takes bytes while none are owed, also more than there are; false when earlier ones are not earned back yet. */
  tryOwe (bytes: number): boolean {
    this.refill()
    if (this.left <= 0) return false
    this.left -= bytes
    return true
  }

  private refill (): void {
    const now = this.clock.readTime()
    this.left = Math.min(BURST_BYTES, this.left + (now - this.countedAt) * BYTES_PER_SECOND / 1000)
    this.countedAt = now
  }
}
