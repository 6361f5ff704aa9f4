import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { WATCH_LOST } from './channels.js'

/**
 * How long an instance that lost the store is excluded: several backoff intervals of a watcher, but no longer than the 2 s in which a change must take
 * effect.
 */
const EXCLUSION_MS = 2_000
const ANNOUNCE_INTERVAL_MS = 500

export interface WatcherElectionOptions {
  clock: Clock
  network: PeerNetwork
  prefix: string
  instance: string
  /** Live instances that may watch, including this one. */
  listCandidates: () => readonly string[]
}

/**
 * Elects the instance that watches one prefix for all others. A watcher whose calls fail announces it, and the next candidate takes over: the store
 * may reject one instance and still serve others.
 */
export class WatcherElection {
  /** Monotonic time in milliseconds until which each instance is excluded. */
  private readonly excludedUntil = new Map<string, number>()
  private announcedAt = -Infinity

  constructor (private readonly opts: WatcherElectionOptions) {}

  /** Listens for announcements of other instances until the signal aborts. */
  start (signal: AbortSignal): void {
    const { network, prefix } = this.opts
    const subscription = network.receive(WATCH_LOST).subscribe(({ from, body }) => {
      if (body.prefix === prefix) this.dropCandidate(from)
    })
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
  }

  /** If all candidates are excluded, the highest ranked one keeps watching. */
  isWatcher (): boolean {
    const { clock, prefix, instance, listCandidates } = this.opts
    const candidates = listCandidates()
    const now = clock.readTime()
    const eligible = this.excludedUntil.size === 0 ? candidates : candidates.filter((it) => (this.excludedUntil.get(it) ?? 0) <= now)
    return findOwner(`feed/${prefix}`, eligible.length > 0 ? eligible : candidates) === instance
  }

  /** Announces that a call of this instance to the store failed, if it is the watcher. */
  announceFailure (): void {
    const { clock, network, prefix, instance } = this.opts
    const now = clock.readTime()
    if (!this.isWatcher() || now - this.announcedAt < ANNOUNCE_INTERVAL_MS) return
    this.announcedAt = now
    this.dropCandidate(instance)
    network.broadcast(WATCH_LOST, { prefix })
  }

  /** Makes this instance eligible again after the store responded to it. */
  recordAnswer (): void {
    this.excludedUntil.delete(this.opts.instance)
  }

  private dropCandidate (instance: string): void {
    this.excludedUntil.set(instance, this.opts.clock.readTime() + EXCLUSION_MS)
  }
}
