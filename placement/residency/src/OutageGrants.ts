import type { Clock } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { HOLD_ON, type HoldOnAnswer } from './channels.js'

/** Milliseconds for which the store must be lost to an instance before it says so; one lost answer is no outage. */
const LOST_MS = 400

/** Instances may notice one outage so far apart without contradicting each other, in milliseconds. */
const AGREEMENT_MS = 300

export interface OutageGrantsOptions {
  clock: Clock
  network: PeerNetwork
  /** All other instances that may exist, linked or not. */
  listOthers: () => readonly string[]
  /** Milliseconds since this instance lost the store; 0 while it, or a peer for it, reaches the store. */
  readStoreLostMs: () => number
  /** Milliseconds since the store was last known to answer. */
  readStoreAgeMs: () => number
  /** Least time between orders of two holders to one server. */
  turnMs: number
  /** Off: nobody asks and nobody grants. */
  isEnabled: boolean
}

/**
 * Lets the holder of a lease go on while the store is away for everybody, so that nobody could take the lease from it. Every other instance that
 * may exist has to say, again and again, that it has lost the store too and leaves the lease alone for a while. One that is silent may
 * reach the store, so that without its word the holder stops.
 *
 * A grant counts for a fifth of the turn time from before it was asked for. One who gave it keeps off for the rest of the turn time and the time in
 * which an order arrives; one who forgot it by a restart has to see the lease unchanged for longer than that before it could take it.
 */
export class OutageGrants {
  /** Monotone time at which the newest grant of each instance was asked for. */
  private readonly grantedAt = new Map<string, number>()
  private promisedUntil = -Infinity
  private contradictedAt = -Infinity

  constructor (private readonly opts: OutageGrantsOptions) {}

  /** Answers holders that ask. */
  start (): void {
    this.opts.network.handleCalls(HOLD_ON, (_, { lostMs }) => this.answerHolder(lostMs))
  }

  /** The store does not answer this instance, nor one that tells it of changes. */
  get isLost (): boolean {
    return this.opts.isEnabled && this.opts.readStoreLostMs() > 0
  }

  /** The store has been lost for long enough to speak of an outage. */
  get isOutage (): boolean {
    return this.opts.isEnabled && this.opts.readStoreLostMs() >= LOST_MS
  }

  /** Another instance reaches the store, which only this one has lost. */
  get isContradicted (): boolean {
    return this.opts.clock.readTime() - this.contradictedAt < this.validMs
  }

  /** This instance has promised a holder to leave the lease alone. */
  get isPromised (): boolean {
    return this.opts.clock.readTime() < this.promisedUntil
  }

  /** All others have said lately that they leave the lease to this instance. */
  get isGranted (): boolean {
    const since = this.opts.clock.readTime() - this.validMs
    return this.isOutage && this.opts.listOthers().every((instance) => (this.grantedAt.get(instance) ?? -Infinity) >= since)
  }

  /** Asks all others for their word. */
  ask (): void {
    const { clock, network, listOthers } = this.opts
    const askedAt = clock.readTime()
    const lostMs = this.opts.readStoreLostMs()
    for (const instance of listOthers()) {
      void network.call(instance, HOLD_ON, { lostMs }, this.validMs).then((answer) => {
        if (answer.isErr()) return
        if (answer.value.granted) this.grantedAt.set(instance, askedAt)
        else this.grantedAt.delete(instance)
        if (answer.value.reachesStore) this.contradictedAt = clock.readTime()
      })
    }
  }

  private answerHolder (lostMs: number): HoldOnAnswer {
    return { granted: this.tryGrant(), reachesStore: this.opts.readStoreAgeMs() < lostMs - AGREEMENT_MS }
  }

  private tryGrant (): boolean {
    if (!this.isOutage) return false
    // The holder's last order lies within the grant, and the first order of this instance a turn after that.
    this.promisedUntil = this.opts.clock.readTime() + this.validMs + this.opts.turnMs
    return true
  }

  private get validMs (): number {
    return this.opts.turnMs / 5
  }
}
