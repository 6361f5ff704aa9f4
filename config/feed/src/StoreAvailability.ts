import type { Clock } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

const MIN_BACKOFF_MS = 100

export interface StoreAvailabilityOptions {
  clock: Clock
  log: DecisionLog
  prefix: string
  /** The replica's revision as the store numbers it within its epoch. */
  readRevision: () => number | undefined
}

/** Tracks whether the store responds to this instance or its peers, and the backoff after failed calls. */
export class StoreAvailability {
  isLost = false
  private recoveredAt = -Infinity
  private lostAt = -Infinity
  private backoffMs = MIN_BACKOFF_MS

  constructor (private readonly opts: StoreAvailabilityOptions) {}

  /** Milliseconds since the store became available; 0 during an outage. */
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
  recordPeerAnswer (knownAt: number): void {
    if (knownAt > this.lostAt) this.recordAnswer()
  }

  recordAnswer (): void {
    this.backoffMs = MIN_BACKOFF_MS
    if (!this.isLost) return
    this.isLost = false
    this.recordRecovery()
    const { prefix, log, readRevision } = this.opts
    log.record(DecisionKinds.DEPENDENCY_REGAINED, { dependency: 'store', prefix, revision: readRevision() })
  }

  /** Records that the store became available again or was restored from an older snapshot. */
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
