import type { Clock } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { OUTAGE_GRANT, type OutageGrantAnswer, type OutageGrantRequest } from './channels.js'

/** Time without the store before an instance reports an outage; one lost response is not an outage. */
const MIN_OUTAGE_MS = 400

/** Tolerated difference between the times at which two instances detect the same outage. */
const DETECTION_SKEW_MS = 300

export interface OutageGrantsOptions {
  clock: Clock
  network: PeerNetwork
  /** All other instances that may exist, connected or not. */
  listOtherInstances: () => readonly string[]
  /** Milliseconds since this instance lost the store; 0 while it reaches the store directly or through a peer. */
  readStoreLostMs: () => number
  /** Fence of this instance's lease. */
  readFence: () => number
  /** Highest fence of a holder that this instance knows of, itself included. */
  readNewestFence: () => number
  /** Milliseconds since the store last responded. */
  readStoreSilenceMs: () => number
  /** Minimum milliseconds between the orders of two lease holders to one server. */
  minHandoverGapMs: number
  /** When false, this instance neither requests nor gives grants. */
  isEnabled: boolean
}

/**
 * Lets the lease holder continue during an outage of the store while every other instance confirms that it has lost the store too. A grant is valid
 * for a fifth of `minHandoverGapMs` from its request; the instance that gave it doesn't acquire the lease until `minHandoverGapMs` after the grant has expired.
 * An instance that does not answer may reach the store and take the lease, so the holder stops without its word.
 */
export class OutageGrants {
  /** Monotonic time at which the latest grant of each instance was requested. */
  private readonly grantRequestedAt = new Map<string, number>()
  private promisedUntil = -Infinity
  private contradictedAt = -Infinity

  constructor (private readonly opts: OutageGrantsOptions) {}

  /** Starts to answer grant requests. */
  start (): void {
    this.opts.network.handleCalls(OUTAGE_GRANT, (_, request) => this.answerHolder(request))
  }

  /** Whether this instance reaches the store neither directly nor through a peer. */
  get isLost (): boolean {
    return this.opts.isEnabled && this.opts.readStoreLostMs() > 0
  }

  /** Whether the store has been lost for long enough to count as an outage. */
  get isOutage (): boolean {
    return this.opts.isEnabled && this.opts.readStoreLostMs() >= MIN_OUTAGE_MS
  }

  /** Whether another instance has recently reported that it reaches the store. */
  get isContradicted (): boolean {
    return this.opts.clock.readTime() - this.contradictedAt < this.grantMs
  }

  /** Whether a grant given by this instance forbids it to acquire the lease. */
  get isPromised (): boolean {
    return this.opts.clock.readTime() < this.promisedUntil
  }

  /** Whether an outage lasts and this instance has a valid grant from every other instance. */
  get isGrantedByAll (): boolean {
    const oldestValidAt = this.opts.clock.readTime() - this.grantMs
    return this.isOutage && this.opts.listOtherInstances().every((instance) => (this.grantRequestedAt.get(instance) ?? -Infinity) >= oldestValidAt)
  }

  /** Requests a grant from every other instance. */
  requestGrants (): void {
    const { clock, network, listOtherInstances } = this.opts
    const requestedAt = clock.readTime()
    const lostMs = this.opts.readStoreLostMs()
    for (const instance of listOtherInstances()) {
      void network.call(instance, OUTAGE_GRANT, { lostMs, fence: this.opts.readFence() }, this.grantMs).then((answer) => {
        if (answer.isErr()) return
        if (answer.value.granted) this.grantRequestedAt.set(instance, requestedAt)
        else this.grantRequestedAt.delete(instance)
        if (answer.value.reachesStore) this.contradictedAt = clock.readTime()
      })
    }
  }

  private answerHolder ({ lostMs, fence }: OutageGrantRequest): OutageGrantAnswer {
    // A former holder that was suspended or cut off doesn't know of its successor.
    const isNewest = fence === undefined || fence >= this.opts.readNewestFence()
    return { granted: isNewest && this.tryGrant(), reachesStore: this.opts.readStoreSilenceMs() < lostMs - DETECTION_SKEW_MS }
  }

  private tryGrant (): boolean {
    if (!this.isOutage) return false
    // The holder may send orders until the grant expires; this instance may send its first one `minHandoverGapMs` after that.
    this.promisedUntil = this.opts.clock.readTime() + this.grantMs + this.opts.minHandoverGapMs
    return true
  }

  private get grantMs (): number {
    return this.opts.minHandoverGapMs / 5
  }
}
