import { hashParts } from '@pulleystack/core.hashing'
import type { ObjectStore } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { parseCrashUpdate, type Charge, type Crash, type CrashUpdate } from './Crash.js'

const KEY_PREFIX = 'suspects/'
/** Interval of retries while the store is unavailable. */
const RETRY_MS = 1_000
/** Maximum number of writes per process run; limits the load on the store when servers crash for hundreds of different requests. */
const MAX_WRITES = 256

export interface CrashArchiveOptions {
  clock: Clock
  store: ObjectStore
  /** The crash with an id; undefined once it has been dropped. */
  find: (id: string) => Crash | undefined
}

/**
 * Stores the crashes by which requests get exclusive runs or are rejected, so that they are still known after all instances restarted at once. This takes
 * two calls per crash and one per process run of an instance.
 */
export class CrashArchive {
  private readonly stored = new Set<string>()
  private writeCount = 0

  constructor (private readonly opts: CrashArchiveOptions) {}

  /** Reads all stored crashes, retrying while the store is unavailable; returns none when the signal aborts first. */
  async load (signal: AbortSignal): Promise<CrashUpdate[]> {
    while (!signal.aborted) {
      const listing = await this.opts.store.listObjects(KEY_PREFIX)
      if (listing.isOk()) return listing.value.objects.flatMap(({ value }) => parseCrashUpdate(value) ?? [])
      await this.opts.clock.wait(RETRY_MS, signal)
    }
    return []
  }

  /** Writes a crash once. */
  async storeNew (id: string, signal: AbortSignal): Promise<void> {
    if (this.stored.has(id) || this.writeCount >= MAX_WRITES) return
    this.stored.add(id)
    this.writeCount++
    await this.storeWithRetries(id, signal)
  }

  /** Writes a crash, retrying while the store is unavailable, unless it has been dropped or all its traits were cleared. */
  async storeWithRetries (id: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.isNeeded(id)) {
      if (await this.write(id)) return
      await this.opts.clock.wait(RETRY_MS, signal)
    }
    this.stored.delete(id)
  }

  private isNeeded (id: string): boolean {
    return (this.opts.find(id)?.listCharged().length ?? 0) > 0
  }

  private async write (id: string): Promise<boolean> {
    const crash = this.opts.find(id)
    if (!crash) return false
    const { store } = this.opts
    const key = buildKey(id)
    const current = await store.readObject(key)
    if (current.isErr()) return false
    const { life, identity, wasExclusive } = crash
    const charges = crash.listCharged().map((trait): Charge => [trait, crash.readDepth(trait)])
    // When two instances write at once, the losing write is retried.
    const result = await store.writeObject(key, { life, identity, wasExclusive, charges }, current.value?.version ?? 0)
    return result.isOk()
  }

  /** Deletes a crash from the store. */
  async remove (id: string): Promise<void> {
    this.stored.delete(id)
    const key = buildKey(id)
    const current = await this.opts.store.readObject(key)
    if (current.isErr() || current.value === undefined) return
    // If this fails, instances that start later give such requests one more exclusive run.
    await this.opts.store.deleteObject(key, current.value.version)
  }
}

function buildKey (id: string): string {
  return KEY_PREFIX + hashParts([id], undefined)
}
