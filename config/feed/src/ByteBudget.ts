import type { Clock } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'

/** Bytes a second that all feeds of an instance may put on its link: a quarter of 10 Mbit/s, about the narrowest that sites have (7 to 140). */
const BYTES_PER_SECOND = 320_000
/** Bytes that may go at once: 0.1 s of the same link, which calls to the store and heartbeats can wait. */
const BURST_BYTES = 128_000

/** What the feeds of an instance may put on its link; bytes that were taken are earned back with time. */
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

const budgets = new WeakMap<PeerNetwork, ByteBudget>()

/** The budget of an instance, which the feeds of all prefixes and their answers to peers share, since they share its link. */
export function findBudget (clock: Clock, network: PeerNetwork): ByteBudget {
  const present = budgets.get(network)
  if (present) return present
  const created = new ByteBudget(clock)
  budgets.set(network, created)
  return created
}
