import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { WATCH_LOST } from './channels.js'

/** One that lost the store is passed over for this long: five of the pauses of one that watches, and no longer than the tightest bound for changes. */
const PASSED_OVER_MS = 2_000
/** A watcher that keeps failing tells so this often. */
const TELL_AGAIN_MS = 500

export interface WatcherChoiceOptions {
  clock: Clock
  network: PeerNetwork
  prefix: string
  instance: string
  /** Live instances that could watch, this one among them. */
  listCandidates: () => readonly string[]
}

/**
 * Which instance watches one prefix in the store for all. The store may turn one away while it serves the others, so that an instance whose
 * calls fail tells the others, and the next in the order takes its place.
 */
export class WatcherChoice {
  /** Monotone time until which an instance is passed over. */
  private readonly passedOver = new Map<string, number>()
  private toldAt = -Infinity

  constructor (private readonly opts: WatcherChoiceOptions) {}

  /** Listens to others until the signal ends. */
  start (signal: AbortSignal): void {
    const { network, prefix } = this.opts
    const subscription = network.receive(WATCH_LOST).subscribe(({ from, body }) => {
      if (body.prefix === prefix) this.passOver(from)
    })
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
  }

  /** Whether this instance watches; when all have lost the store, the first in the order goes on trying. */
  isWatcher (): boolean {
    const { clock, prefix, instance, listCandidates } = this.opts
    const candidates = listCandidates()
    const now = clock.readTime()
    const fit = this.passedOver.size === 0 ? candidates : candidates.filter((it) => (this.passedOver.get(it) ?? 0) <= now)
    return findOwner(`feed/${prefix}`, fit.length > 0 ? fit : candidates) === instance
  }

  /** The store did not answer this instance. */
  noteFailed (): void {
    const { clock, network, prefix, instance } = this.opts
    const now = clock.readTime()
    if (!this.isWatcher() || now - this.toldAt < TELL_AGAIN_MS) return
    this.toldAt = now
    this.passOver(instance)
    network.broadcast(WATCH_LOST, { prefix })
  }

  /** The store answered this instance itself. */
  noteAnswered (): void {
    this.passedOver.delete(this.opts.instance)
  }

  private passOver (instance: string): void {
    this.passedOver.set(instance, this.opts.clock.readTime() + PASSED_OVER_MS)
  }
}
