import type { Clock } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'

/** Average rate at which all feeds of an instance may send; about a quarter of a 10 Mbit/s link. */
const BYTES_PER_SECOND = 320_000
/** About 0.1 s of a 10 Mbit/s link, a delay that store calls and heartbeats tolerate. */
const BURST_BYTES = 128_000

/** Token bucket that limits the bytes that an instance's feeds send. */
export class ByteBudget {
  private availableBytes = BURST_BYTES
  private refilledAt: number

  constructor (private readonly clock: Clock) {
    this.refilledAt = clock.readTime()
  }

  /** Spends bytes if that many are available. */
  trySpend (bytes: number): boolean {
    this.refill()
    if (bytes > this.availableBytes) return false
    this.availableBytes -= bytes
    return true
  }

  /** Spends bytes if any are available, even more than that; returns false until the deficit has been refilled. */
  tryOverdraw (bytes: number): boolean {
    this.refill()
    if (this.availableBytes <= 0) return false
    this.availableBytes -= bytes
    return true
  }

  private refill (): void {
    const now = this.clock.readTime()
    this.availableBytes = Math.min(BURST_BYTES, this.availableBytes + (now - this.refilledAt) * BYTES_PER_SECOND / 1000)
    this.refilledAt = now
  }
}

const budgets = new WeakMap<PeerNetwork, ByteBudget>()

/** Returns the budget that all feeds of an instance share, including their responses to peers. */
export function findOrCreateBudget (clock: Clock, network: PeerNetwork): ByteBudget {
  const existing = budgets.get(network)
  if (existing) return existing
  const created = new ByteBudget(clock)
  budgets.set(network, created)
  return created
}
