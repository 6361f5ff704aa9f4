import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { ObjectStore, StoredObject } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'
import { ClaimIndex } from './ClaimIndex.js'
import type { ClaimEntry } from './ClaimEntry.js'

export interface ClaimLogOptions {
  clock: Clock
  store: ObjectStore
  shard: number
  /** Milliseconds after which entries are deleted. */
  retentionMs: number
  /** Creates the id by which a write with a lost response is recognized when it is read back. */
  createOperationId: () => string
}

interface Segment {
  seq: number
  version: number
  entries: ClaimEntry[]
  bytes: number
  operation: string
}

// The size alone closes a segment, so that all writers agree on where the next one begins.
const FULL_SEGMENT_BYTES = 32 << 10
const MAX_BATCH_BYTES = 600 << 10
// Time without a read or write of the store after which the open segment's version is checked again.
const RECHECK_INTERVAL_MS = 30_000

/**
 * The log of one claim shard: numbered segments in the object API. The open segment is extended by conditional updates,
 * and the next one is created only when it is full. Concurrent writers therefore always conflict on the same object, and
 * the one that fails loads the log again.
 */
export class ClaimLog {
  readonly index = new ClaimIndex()
  private open: Segment | undefined
  private closed: { seq: number, version: number, newestAt: number }[] = []
  private checkedAt = -Infinity

  constructor (private readonly opts: ClaimLogOptions) {}

  get isLoaded (): boolean {
    return this.open !== undefined
  }

  /** Clears the loaded state, so that the next use loads the log again. */
  unload (): void {
    this.open = undefined
    this.index.clear()
    this.closed = []
  }

  /** Reads the whole log; fails with the store's error. */
  async load (): Promise<Result<void, PulleystackError>> {
    const listing = await this.opts.store.listObjects(this.buildPrefix())
    if (listing.isErr()) return err(listing.error)
    this.unload()
    const segments = listing.value.objects.map(parseSegment).sort((a, b) => a.seq - b.seq)
    for (const segment of segments) segment.entries.forEach((entry) => this.index.apply(entry))
    this.open = segments.pop() ?? createSegment(1)
    this.closed = segments.map(({ seq, version, entries }) => ({ seq, version, newestAt: findNewestTime(entries) }))
    this.checkedAt = this.opts.clock.readTime()
    this.index.dropBefore(this.opts.clock.readWallTime() - this.opts.retentionMs)
    return ok(undefined)
  }

  /** Loads the log if it is not loaded or another writer has changed the open segment. */
  async ensureLoaded (): Promise<Result<void, PulleystackError>> {
    if (!this.open) return this.load()
    if (this.opts.clock.readTime() - this.checkedAt < RECHECK_INTERVAL_MS) return ok(undefined)
    const read = await this.opts.store.readObject(this.buildKey(this.open.seq))
    if (read.isErr()) return err(read.error)
    if ((read.value?.version ?? 0) !== this.open.version) return this.load()
    this.checkedAt = this.opts.clock.readTime()
    return ok(undefined)
  }

  /**
   * Writes entries with one conditional update. Fails with STORE_CONFLICT when another writer changed the log, or with
   * STORE_OUTCOME_UNKNOWN when reading back could not tell whether the entries were written. Any failure unloads the log.
   */
  async append (entries: readonly ClaimEntry[]): Promise<Result<void, PulleystackError>> {
    const current = this.open
    if (!current) return err(new PulleystackError('STORE_CONFLICT', 'The claim log is not loaded'))
    const target = current.bytes >= FULL_SEGMENT_BYTES ? createSegment(current.seq + 1) : current
    const operation = this.opts.createOperationId()
    const next = extendSegment(target, entries, operation)
    const written = await this.write(next, target.version)
    if (written.isErr()) {
      this.unload()
      return err(written.error)
    }
    if (target !== current) this.closed.push({ seq: current.seq, version: current.version, newestAt: findNewestTime(current.entries) })
    this.open = { ...next, version: written.value }
    this.checkedAt = this.opts.clock.readTime()
    entries.forEach((entry) => this.index.apply(entry))
    return ok(undefined)
  }

  /** Deletes expired claims from memory, and at most one closed segment of which all entries have expired. */
  async dropExpired (): Promise<void> {
    const cutoff = this.opts.clock.readWallTime() - this.opts.retentionMs
    this.index.dropBefore(cutoff)
    const oldest = this.closed[0]
    if (!oldest || oldest.newestAt >= cutoff) return
    this.closed.shift()
    await this.opts.store.deleteObject(this.buildKey(oldest.seq), oldest.version)
  }

  /** Removes and returns the first pending items, until their size reaches the batch limit. */
  static takeBatch<T> (pending: T[], measure: (item: T) => number): T[] {
    let bytes = 0
    let count = 0
    while (count < pending.length && bytes < MAX_BATCH_BYTES) bytes += measure(pending[count++] as T)
    return pending.splice(0, count)
  }

  private async write (segment: Segment, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    const key = this.buildKey(segment.seq)
    const { entries, bytes, operation } = segment
    const written = await this.opts.store.writeObject(key, { entries, bytes, operation }, expectedVersion)
    if (written.isOk() || written.error.code !== 'STORE_OUTCOME_UNKNOWN') return written
    return this.readBack(key, operation, expectedVersion)
  }

  private async readBack (key: string, operation: string, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    const read = await this.opts.store.readObject(key)
    if (read.isErr()) return err(new PulleystackError('STORE_OUTCOME_UNKNOWN', 'Reading back could not tell whether the claims were written', { cause: read.error }))
    const stored = read.value
    if (stored && (stored.value as Segment).operation === operation) return ok(stored.version)
    // The version is unchanged, but the store may still receive the write.
    if ((stored?.version ?? 0) === expectedVersion) return err(new PulleystackError('STORE_OUTCOME_UNKNOWN', 'The write of the claims was lost or is delayed'))
    return err(new PulleystackError('STORE_CONFLICT', 'Another writer changed the claim log'))
  }

  private buildPrefix (): string {
    return `claims/${this.opts.shard}/`
  }

  private buildKey (seq: number): string {
    return `${this.buildPrefix()}${String(seq).padStart(10, '0')}`
  }
}

function createSegment (seq: number): Segment {
  return { seq, version: 0, entries: [], bytes: 0, operation: '' }
}

function extendSegment (segment: Segment, entries: readonly ClaimEntry[], operation: string): Segment {
  const bytes = entries.reduce((sum, entry) => sum + JSON.stringify(entry).length, segment.bytes)
  return { ...segment, entries: [...segment.entries, ...entries], bytes, operation }
}

function parseSegment (object: StoredObject): Segment {
  const value = object.value as Omit<Segment, 'seq' | 'version'>
  return { ...value, seq: Number(object.key.slice(object.key.lastIndexOf('/') + 1)), version: object.version }
}

function findNewestTime (entries: readonly ClaimEntry[]): number {
  return entries.reduce((newest, entry) => Math.max(newest, entry.at), 0)
}
