import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { Observable } from 'rxjs'
import type { ChangeBatch, ObjectStore, StoreListing } from './ObjectStore.js'

const WAIT_MS = 20_000
const MIN_BACKOFF_MS = 200
const MAX_BACKOFF_MS = 5_000

/** What a watch emits: a whole listing first, after compaction and now and then, else batches of changes. */
export type WatchItem = { listing: StoreListing } | { batch: ChangeBatch } | { failed: true }

export interface WatchOptions {
  store: ObjectStore
  clock: Clock
  random: RandomSource
  prefix: string
  /** Milliseconds after which a listing mends what the watch may have left out. */
  getRelistMs: () => number
  /** Milliseconds that one call may wait for a change. */
  waitMs?: number
  /** Longest pause between failed calls. */
  maxBackoffMs?: number
  /** Pause after a batch of changes, so that changes that come close together cost one call. */
  settleMs?: number
}

/** Follows a prefix for ever: lists, waits for changes, lists again when the version was compacted, backs off with jitter on failure. */
export function watchObjects (opts: WatchOptions): Observable<WatchItem> {
  return new Observable((subscriber) => {
    const abort = new AbortController()
    void followPrefix(opts, abort.signal, (item) => subscriber.next(item))
    return () => abort.abort()
  })
}

async function followPrefix (opts: WatchOptions, signal: AbortSignal, emit: (item: WatchItem) => void): Promise<void> {
  let version: number | undefined
  let backoff = MIN_BACKOFF_MS
  let listedAt = -Infinity
  while (!signal.aborted) {
    if (opts.clock.readTime() - listedAt > opts.getRelistMs()) version = undefined
    if (version === undefined) listedAt = opts.clock.readTime()
    const next = version === undefined ? await emitListing(opts, emit) : await emitChanges(opts, version, signal, emit)
    if (signal.aborted) return
    if (next === 'failed') {
      emit({ failed: true })
      await opts.clock.wait(backoff * (0.5 + opts.random.readFraction()), signal)
      backoff = Math.min(opts.maxBackoffMs ?? MAX_BACKOFF_MS, backoff * 2)
      continue
    }
    backoff = MIN_BACKOFF_MS
    version = next
  }
}

async function emitListing (opts: WatchOptions, emit: (item: WatchItem) => void): Promise<number | 'failed'> {
  const listing = await opts.store.listObjects(opts.prefix)
  if (listing.isErr()) return 'failed'
  emit({ listing: listing.value })
  return listing.value.version
}

async function emitChanges (opts: WatchOptions, version: number, signal: AbortSignal, emit: (item: WatchItem) => void): Promise<number | undefined | 'failed'> {
  const batch = await opts.store.waitForChanges(opts.prefix, version, opts.waitMs ?? WAIT_MS, signal)
  if (batch.isErr()) return batch.error.code === 'STORE_COMPACTED' ? undefined : 'failed'
  emit({ batch: batch.value })
  if (opts.settleMs !== undefined && batch.value.changes.length > 0) await opts.clock.wait(opts.settleMs, signal)
  return Math.max(version, batch.value.version)
}
