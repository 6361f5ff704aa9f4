import type { Clock } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

const MIN_BACKOFF_MS = 100

export interface StoreAvailabilityOptions {
  clock: Clock
  log: DecisionLog
  prefix: string
  /** After a shorter outage, no object can have expired because its owner couldn't reach the store. */
  minExpiryMs: number
  /** The replica's revision as the store numbers it within its epoch. */
  readRevision: () => number | undefined
}

/**
 * Tracks whether the store responds to this instance or its peers, the end of the last outage in which objects may have expired, and the backoff after
 * failed calls. A call may fail although the store serves all others.
 */
export class StoreAvailability {
  isLost = false
  private recoveredAt = -Infinity
  private lostAt = -Infinity
  private backoffMs = MIN_BACKOFF_MS

  constructor (private readonly opts: StoreAvailabilityOptions) {}

  /** Milliseconds since the end of the last outage in which objects may have expired; 0 while calls fail. */
  get sinceRecoveryMs (): number {
    return this.isLost ? 0 : this.opts.clock.readTime() - this.recoveredAt
  }

  /** Milliseconds since the outage began; 0 while the store is available. */
  get outageMs (): number {
    return this.isLost ? this.opts.clock.readTime() - this.lostAt : 0
  }

  recordFailure (cause: PulleystackError): void {
    if (this.isLost) return
    this.isLost = true
    this.lostAt = this.opts.clock.readTime()
    const { code, message } = cause
    const { prefix, log, readRevision } = this.opts
    log.record(DecisionKinds.DEPENDENCY_LOST, { dependency: 'store', prefix, revision: readRevision(), code, reason: message })
  }

  /** Records that the store responded to a peer at the given time; ignored if that was before the outage. */
  recordPeerAnswer (knownAt: number, silenceMs: number): void {
    if (knownAt > this.lostAt) this.recordAnswer(silenceMs)
  }

  /** Records a response that came `silenceMs` after the replica was last known to match the store. */
  recordAnswer (silenceMs: number): void {
    this.backoffMs = MIN_BACKOFF_MS
    if (!this.isLost) return
    this.isLost = false
    if (silenceMs >= this.opts.minExpiryMs) this.recordRecovery()
    const { prefix, log, readRevision } = this.opts
    log.record(DecisionKinds.DEPENDENCY_REGAINED, { dependency: 'store', prefix, revision: readRevision() })
  }

  /** Records the end of an outage in which objects may have expired, or a restore from an older snapshot that may lack them. */
  recordRecovery (): void {
    this.recoveredAt = this.opts.clock.readTime()
  }

  /** Returns the milliseconds to wait before the next call, and doubles them up to a maximum. */
  takeBackoff (maxMs: number): number {
    const { backoffMs } = this
    this.backoffMs = Math.min(maxMs, backoffMs * 2)
    return backoffMs
  }
}
