import type { Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

/** Below the 2 s within which a change must take effect, so that a replica is logged before it breaks that bound. */
const STALE_MS = 1_500
const CHECK_INTERVAL_MS = 500

/** What a feed is doing to keep its replica up to date. */
export const ReplicaStates = {
  /** Its last call to the store failed. */
  STORE_LOST: 'store-lost',
  /** A call to the store is in progress. */
  ASKING: 'asking',
  /** A peer reported changes that the replica lacks. */
  GAP: 'gap',
  /** It receives updates from the watching instance. */
  LISTENING: 'listening',
} as const
export type ReplicaState = typeof ReplicaStates[keyof typeof ReplicaStates]

/** The properties of a feed that are monitored. */
export interface MonitoredReplica {
  /** Milliseconds since the replica was last known to match the store; infinite if it never was. */
  readonly ageMs: number
  /** 0 before the first listing. */
  readonly newestRevision: number
  readonly state: ReplicaState
  isWatcher: () => boolean
}

export interface StalenessMonitorOptions {
  clock: Clock
  log: DecisionLog
  feed: MonitoredReplica
  prefix: string
}

/** Logs when the replica of one prefix becomes stale or current, and when this instance starts or stops watching. */
export class StalenessMonitor {
  private staleSince: number | undefined
  private wasWatcher = false

  constructor (private readonly opts: StalenessMonitorOptions) {}

  /** Checks periodically until the signal aborts. */
  start (signal: AbortSignal): void {
    keepRunning({ task: 'staleness check', clock: this.opts.clock, signal, run: () => this.run(signal) })
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.check()
      await this.opts.clock.wait(CHECK_INTERVAL_MS, signal)
    }
  }

  private check (): void {
    this.checkWatcher()
    const { ageMs, newestRevision } = this.opts.feed
    if (newestRevision === 0) return
    const isStale = ageMs > STALE_MS
    if (isStale && this.staleSince === undefined) this.recordStale(ageMs)
    else if (!isStale && this.staleSince !== undefined) this.recordCurrent(this.staleSince)
  }

  private checkWatcher (): void {
    const { feed, log, prefix } = this.opts
    const isWatcher = feed.isWatcher()
    if (isWatcher === this.wasWatcher) return
    this.wasWatcher = isWatcher
    log.record(DecisionKinds.WATCHER_CHANGED, { prefix, isWatcher })
  }

  private recordStale (ageMs: number): void {
    const { clock, feed, log, prefix } = this.opts
    const isAgeKnown = Number.isFinite(ageMs)
    this.staleSince = clock.readTime() - (isAgeKnown ? ageMs - STALE_MS : 0)
    log.record(DecisionKinds.COPY_STALE, {
      prefix,
      ageMs: isAgeKnown ? Math.round(ageMs) : undefined,
      revision: feed.newestRevision,
      isWatcher: this.wasWatcher,
      cause: feed.state,
    })
  }

  private recordCurrent (staleSince: number): void {
    const { clock, feed, log, prefix } = this.opts
    this.staleSince = undefined
    log.record(DecisionKinds.COPY_CURRENT, { prefix, staleMs: Math.round(clock.readTime() - staleSince), revision: feed.newestRevision })
  }
}
