import type { Clock } from '@pulleystack/core.clock'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

/** The platform's tightest bound for a change to be in force is 2 s; a copy that is logged at 1.5 s has not broken it yet. */
const STALE_MS = 1_500
/** A copy that passes the limit is seen before the 2 s are over; more wake-ups would cost processor time for no more insight. */
const LOOK_MS = 500

/** What a feed does about its copy. */
export const CopyStates = {
  /** Its last call to the store failed. */
  STORE_LOST: 'store-lost',
  /** Its own call to the store is under way. */
  ASKING: 'asking',
  /** News that came from a peer do not follow on what it has. */
  GAP: 'gap',
  /** It relies on news from the instance that watches. */
  LISTENING: 'listening',
} as const
export type CopyState = typeof CopyStates[keyof typeof CopyStates]

/** What is looked at of a feed. */
export interface WatchedCopy {
  /** Milliseconds since the copy was known to be what the store holds; infinite when that was never known. */
  readonly ageMs: number
  /** 0 before there is a copy. */
  readonly newestRevision: number
  readonly state: CopyState
  isWatcher: () => boolean
}

export interface CopyWatchOptions {
  clock: Clock
  log: DecisionLog
  feed: WatchedCopy
  prefix: string
}

/** Logs when the copy of one prefix turns stale and when it is current again, also while nothing arrives. */
export class CopyWatch {
  private staleSince: number | undefined
  private wasWatcher = false

  constructor (private readonly opts: CopyWatchOptions) {}

  /** Looks until the signal ends. */
  start (signal: AbortSignal): void {
    void this.run(signal)
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.look()
      await this.opts.clock.wait(LOOK_MS, signal)
    }
  }

  private look (): void {
    this.lookAtWatcher()
    const { ageMs, newestRevision } = this.opts.feed
    if (newestRevision === 0) return
    const isStale = ageMs > STALE_MS
    if (isStale && this.staleSince === undefined) this.noteStale(ageMs)
    else if (!isStale && this.staleSince !== undefined) this.noteCurrent(this.staleSince)
  }

  private lookAtWatcher (): void {
    const { feed, log, prefix } = this.opts
    const isWatcher = feed.isWatcher()
    if (isWatcher === this.wasWatcher) return
    this.wasWatcher = isWatcher
    log.record(DecisionKinds.WATCHER_CHANGED, { prefix, isWatcher })
  }

  private noteStale (ageMs: number): void {
    const { clock, feed, log, prefix } = this.opts
    const isDated = Number.isFinite(ageMs)
    this.staleSince = clock.readTime() - (isDated ? ageMs - STALE_MS : 0)
    log.record(DecisionKinds.COPY_STALE, {
      prefix,
      ageMs: isDated ? Math.round(ageMs) : undefined,
      revision: feed.newestRevision,
      isWatcher: this.wasWatcher,
      cause: feed.state,
    })
  }

  private noteCurrent (staleSince: number): void {
    const { clock, feed, log, prefix } = this.opts
    this.staleSince = undefined
    log.record(DecisionKinds.COPY_CURRENT, { prefix, staleMs: Math.round(clock.readTime() - staleSince), revision: feed.newestRevision })
  }
}
