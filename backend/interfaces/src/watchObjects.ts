import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { Observable } from 'rxjs'
import type { ChangeBatch, ObjectStore, StoreListing } from './ObjectStore.js'

const LONG_POLL_MS = 20_000
const MIN_BACKOFF_MS = 200
const MAX_BACKOFF_MS = 5_000

/** An item of a watch: a full listing at the start, after compaction and at regular intervals, otherwise a batch of changes or a failure. */
export type WatchItem = { listing: StoreListing } | { batch: ChangeBatch } | { failed: true }

export interface WatchOptions {
  store: ObjectStore
  clock: Clock
  random: RandomSource
  prefix: string
  /** Interval in milliseconds between full listings, which correct changes that the watch missed. */
  getRelistIntervalMs: () => number
  /** Maximum milliseconds that one call waits for a change. */
  waitMs?: number
  /** Maximum milliseconds between failed calls, before jitter. */
  maxBackoffMs?: number
  /** Milliseconds to wait after a batch, so that changes in quick succession are fetched together. */
  batchDelayMs?: number
}

/** Watches a prefix until unsubscribed. Lists again if the version was compacted, and retries failed calls with jittered exponential backoff. */
export function watchObjects (opts: WatchOptions): Observable<WatchItem> {
  return new Observable((subscriber) => {
    const controller = new AbortController()
    void followPrefix(opts, controller.signal, (item) => subscriber.next(item))
    return () => controller.abort()
  })
}

async function followPrefix (opts: WatchOptions, signal: AbortSignal, emit: (item: WatchItem) => void): Promise<void> {
  let version: number | undefined
  let backoff = MIN_BACKOFF_MS
  let listedAt = -Infinity
  while (!signal.aborted) {
    if (opts.clock.readTime() - listedAt > opts.getRelistIntervalMs()) version = undefined
    if (version === undefined) listedAt = opts.clock.readTime()
    const nextVersion = version === undefined ? await emitListing(opts, emit) : await emitChanges(opts, version, signal, emit)
    if (signal.aborted) return
    if (nextVersion === 'failed') {
      emit({ failed: true })
      await opts.clock.wait(backoff * (0.5 + opts.random.readFraction()), signal)
      backoff = Math.min(opts.maxBackoffMs ?? MAX_BACKOFF_MS, backoff * 2)
      continue
    }
    backoff = MIN_BACKOFF_MS
    version = nextVersion
  }
}

async function emitListing (opts: WatchOptions, emit: (item: WatchItem) => void): Promise<number | 'failed'> {
  const listing = await opts.store.listObjects(opts.prefix)
  if (listing.isErr()) return 'failed'
  emit({ listing: listing.value })
  return listing.value.version
}

async function emitChanges (opts: WatchOptions, version: number, signal: AbortSignal, emit: (item: WatchItem) => void): Promise<number | undefined | 'failed'> {
  const batch = await opts.store.waitForChanges(opts.prefix, version, opts.waitMs ?? LONG_POLL_MS, signal)
  if (batch.isErr()) return batch.error.code === 'STORE_COMPACTED' ? undefined : 'failed'
  emit({ batch: batch.value })
  if (opts.batchDelayMs !== undefined && batch.value.changes.length > 0) await opts.clock.wait(opts.batchDelayMs, signal)
  return Math.max(version, batch.value.version)
}
