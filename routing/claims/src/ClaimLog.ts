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
  /** Entries older than this are forgotten. */
  keepMs: number
  /** Makes ids by which a write whose answer was lost is recognised. */
  createOperation: () => string
}

interface Segment {
  seq: number
  version: number
  entries: ClaimEntry[]
  bytes: number
  operation: string
}

// A segment is closed by its size alone, so that every writer of the shard agrees where the next one begins.
const CLOSED_BYTES = 32 << 10
const MAX_BATCH_BYTES = 600 << 10
// After this long without contact the log looks whether somebody else wrote or removed segments.
const TRUST_MS = 30_000

/**
 * The log of one claim shard: numbered segments in the object API. The open segment is extended by conditional update
 * and the next one is only created when it is full, so that two writers with different views always collide on one
 * object, and the loser reads on. Safety rests on nothing else.
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

  /** Forgets what is known, so that the next use reads the log anew. */
  unload (): void {
    this.open = undefined
    this.index.clear()
    this.closed = []
  }

  /** Reads the whole log. */
  async load (): Promise<Result<void, PulleystackError>> {
    const listing = await this.opts.store.listObjects(this.buildPrefix())
    if (listing.isErr()) return err(listing.error)
    this.unload()
    const segments = listing.value.objects.map(parseSegment).sort((a, b) => a.seq - b.seq)
    for (const segment of segments) segment.entries.forEach((entry) => this.index.apply(entry))
    this.open = segments.pop() ?? createSegment(1)
    this.closed = segments.map(({ seq, version, entries }) => ({ seq, version, newestAt: findNewest(entries) }))
    this.checkedAt = this.opts.clock.readTime()
    this.index.dropBefore(this.opts.clock.readWallTime() - this.opts.keepMs)
    return ok(undefined)
  }

  /** Loads the log, or makes sure that what was loaded is still its end. */
  async ensureLoaded (): Promise<Result<void, PulleystackError>> {
    if (!this.open) return this.load()
    if (this.opts.clock.readTime() - this.checkedAt < TRUST_MS) return ok(undefined)
    const read = await this.opts.store.readObject(this.buildKey(this.open.seq))
    if (read.isErr()) return err(read.error)
    if ((read.value?.version ?? 0) !== this.open.version) return this.load()
    this.checkedAt = this.opts.clock.readTime()
    return ok(undefined)
  }

  /**
   * Writes entries with one conditional update. STORE_CONFLICT means that somebody else wrote and the log must be
   * loaded again; STORE_OUTCOME_UNKNOWN that not even reading back told whether they stand.
   */
  async append (entries: readonly ClaimEntry[]): Promise<Result<void, PulleystackError>> {
    const before = this.open
    if (!before) return err(new PulleystackError('STORE_CONFLICT', 'The claim log is not loaded'))
    const target = before.bytes >= CLOSED_BYTES ? createSegment(before.seq + 1) : before
    const operation = this.opts.createOperation()
    const next = extendSegment(target, entries, operation)
    const written = await this.write(next, target.version)
    if (written.isErr()) {
      this.unload()
      return err(written.error)
    }
    if (target !== before) this.closed.push({ seq: before.seq, version: before.version, newestAt: findNewest(before.entries) })
    this.open = { ...next, version: written.value }
    this.checkedAt = this.opts.clock.readTime()
    entries.forEach((entry) => this.index.apply(entry))
    return ok(undefined)
  }

  /** Removes at most one segment that holds nothing but forgotten entries. The newest segment always stays. */
  async dropExpired (): Promise<void> {
    const limit = this.opts.clock.readWallTime() - this.opts.keepMs
    this.index.dropBefore(limit)
    const oldest = this.closed[0]
    if (!oldest || oldest.newestAt >= limit) return
    this.closed.shift()
    await this.opts.store.deleteObject(this.buildKey(oldest.seq), oldest.version)
  }

  /** How many entries one batch may have. */
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
    if (read.isErr()) return err(new PulleystackError('STORE_OUTCOME_UNKNOWN', 'Whether claims were written is not known', { cause: read.error }))
    const standing = read.value
    if (standing && (standing.value as Segment).operation === operation) return ok(standing.version)
    // The version is as before, but the write may still be on its way to the store.
    if ((standing?.version ?? 0) === expectedVersion) return err(new PulleystackError('STORE_OUTCOME_UNKNOWN', 'A write of claims was lost or is late'))
    return err(new PulleystackError('STORE_CONFLICT', 'Another writer was faster'))
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

function findNewest (entries: readonly ClaimEntry[]): number {
  return entries.reduce((newest, entry) => Math.max(newest, entry.at), 0)
}
