import type { Clock } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

const MIN_BACKOFF_MS = 100

export interface StoreContactOptions {
  clock: Clock
  log: DecisionLog
  prefix: string
  /** The store's own number of the copy's revision. */
  readRevision: () => number | undefined
}

/** Whether the store answers an instance or those that it hears from, and how long failed calls are to pause. */
export class StoreContact {
  isLost = false
  private regainedAt = -Infinity
  private lostAt = -Infinity
  private backoffMs = MIN_BACKOFF_MS

  constructor (private readonly opts: StoreContactOptions) {}

  /** Milliseconds since the store came back; 0 while it is away. */
  get settledMs (): number {
    return this.isLost ? 0 : this.opts.clock.readTime() - this.regainedAt
  }

  /** Milliseconds since the store went away; 0 while it answers. */
  get lostMs (): number {
    return this.isLost ? this.opts.clock.readTime() - this.lostAt : 0
  }

  noteLost (cause: PulleystackError): void {
    if (this.isLost) return
    this.isLost = true
    this.lostAt = this.opts.clock.readTime()
    const { code, message } = cause
    const { prefix, log, readRevision } = this.opts
    log.record(DecisionKinds.DEPENDENCY_LOST, { dependency: 'store', prefix, revision: readRevision(), code, reason: message })
  }

  /** A peer had an answer of the store at some time; one from before it went away does not say that it is back. */
  noteHeard (knownAt: number): void {
    if (knownAt > this.lostAt) this.noteAnswered()
  }

  noteAnswered (): void {
    this.backoffMs = MIN_BACKOFF_MS
    if (!this.isLost) return
    this.isLost = false
    this.noteReturned()
    const { prefix, log, readRevision } = this.opts
    log.record(DecisionKinds.DEPENDENCY_REGAINED, { dependency: 'store', prefix, revision: readRevision() })
  }

  /** The store is back from an older copy, whether or not it was missed. */
  noteReturned (): void {
    this.regainedAt = this.opts.clock.readTime()
  }

  /** Milliseconds before the next call, twice as long after each up to the longest. */
  takeBackoff (maxMs: number): number {
    const { backoffMs } = this
    this.backoffMs = Math.min(maxMs, backoffMs * 2)
    return backoffMs
  }
}
