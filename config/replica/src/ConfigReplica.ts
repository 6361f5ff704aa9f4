import { parseConfigObject, parseObjectKey, type ConfigObject } from '@pulleystack/config.objects'
import { PulleystackError } from '@pulleystack/core.errors'
import type { ChangeBatch, StoreListing } from '@pulleystack/backend.interfaces'
import { Subject, type Observable } from 'rxjs'
import { BUCKET_COUNT, combineBuckets, getBucket, hashEntry, type BucketSummary, type ReplicaDigest } from './digest.js'

/** State of one key, as sent between peers. */
export interface ReplicaEntry {
  key: string
  /** Newest version seen, accepted or not. */
  version: number
  /** Raw value of that version; undefined if it is a deletion. */
  value: unknown
  /** The effective version, if the newest was rejected. */
  accepted?: { version: number, value: unknown }
}

/** A version that failed validation; the last accepted one stays effective. */
export interface Rejection {
  key: string
  version: number
  error: PulleystackError
}

/** A change of the effective object of a key. */
export interface ReplicaChange {
  key: string
  version: number
  before: ConfigObject | undefined
  after: ConfigObject | undefined
}

interface KeyState {
  entry: ReplicaEntry
  effective: ConfigObject | undefined
  effectiveVersion: number
}

/**
 * One instance's replica of the configuration, which accepts only increasing versions of each key. Tombstones are kept until all changes up to
 * their version are known; after that, an older version of an unknown key must belong to a deleted object and is rejected.
 */
export class ConfigReplica {
  private readonly states = new Map<string, KeyState>()
  private readonly rejections = new Map<string, Rejection>()
  private readonly buckets: number[] = new Array<number>(BUCKET_COUNT).fill(0)
  private readonly changed = new Subject<ReplicaChange>()
  private readonly arrived = new Subject<ReplicaEntry>()
  private completeThrough = 0
  private newest = 0
  private complete = false

  /** Changes of effective objects. */
  get changes (): Observable<ReplicaChange> {
    return this.changed
  }

  /** Every accepted entry, to be relayed to peers. */
  get arrivals (): Observable<ReplicaEntry> {
    return this.arrived
  }

  /** Version of the newest change received from any source; for display. */
  get newestVersion (): number {
    return Math.max(this.newest, this.completeThrough)
  }

  /**
   * All changes up to this version are known, from a listing or a peer. A watch does not advance it: after a gap in a watch, peers would take the
   * missed objects for deleted ones.
   */
  get knownThrough (): number {
    return this.completeThrough
  }

  /** Whether a full listing or a full exchange with a peer has been applied. */
  get isComplete (): boolean {
    return this.complete
  }

  /** Applies one version of an object; returns false if it is not newer than the replica. */
  applyEntry (entry: ReplicaEntry): boolean {
    return this.acceptEntry(entry, this.completeThrough)
  }

  applyBatch (batch: ChangeBatch): void {
    for (const change of batch.changes) this.applyEntry(change)
  }

  /** Applies a full listing. A known key that is not listed was deleted, unless its version is newer than the listing. */
  applyListing (listing: StoreListing): void {
    const listed = new Set(listing.objects.map((object) => object.key))
    // A listing that isn't older than knownThrough may have objects that were missed before.
    const knownThrough = listing.version >= this.completeThrough ? 0 : this.completeThrough
    for (const object of listing.objects) this.acceptEntry(object, knownThrough)
    for (const [key, state] of this.states) {
      if (listed.has(key) || state.entry.version > listing.version || state.entry.value === undefined) continue
      this.applyEntry({ key, version: listing.version, value: undefined })
    }
    this.advance(listing.version)
  }

  /** Records that all changes up to a version are known, from a listing or a peer with the same content. */
  advance (version: number): void {
    this.complete = true
    if (version <= this.completeThrough) return
    this.completeThrough = version
    for (const [key, state] of this.states) {
      if (state.entry.value === undefined && state.entry.version <= version) this.dropEntry(key, state)
    }
  }

  readDigest (): ReplicaDigest {
    return { knownThrough: this.completeThrough, root: combineBuckets(this.buckets), buckets: [...this.buckets] }
  }

  listBucket (bucket: number): BucketSummary {
    const entries: BucketSummary['entries'] = []
    for (const [key, state] of this.states) {
      if (getBucket(key) === bucket) entries.push([key, state.entry.version])
    }
    return { bucket, knownThrough: this.completeThrough, entries }
  }

  /** Compares a bucket with a peer's: applies the deletions that it implies and returns the keys of which the peer has newer versions. */
  compareBucket (summary: BucketSummary): string[] {
    const theirs = new Map(summary.entries)
    for (const [key, state] of this.states) {
      if (getBucket(key) !== summary.bucket || theirs.has(key) || state.entry.value === undefined) continue
      if (state.entry.version <= summary.knownThrough) this.applyEntry({ key, version: summary.knownThrough, value: undefined })
    }
    return summary.entries.filter(([key, version]) => this.isNewer(key, version)).map(([key]) => key)
  }

  readEntries (keys: readonly string[]): ReplicaEntry[] {
    return keys.flatMap((key) => this.states.get(key)?.entry ?? [])
  }

  /** Returns the effective object of a key. */
  readObject (key: string): ConfigObject | undefined {
    return this.states.get(key)?.effective
  }

  /** Returns the effective version of a key; 0 if there is none. */
  readVersion (key: string): number {
    return this.states.get(key)?.effectiveVersion ?? 0
  }

  /** Iterates over all effective objects. */
  * listObjects (): Iterable<ConfigObject> {
    for (const state of this.states.values()) {
      if (state.effective) yield state.effective
    }
  }

  listRejections (): Rejection[] {
    return [...this.rejections.values()]
  }

  get size (): number {
    return this.states.size
  }

  private isNewer (key: string, version: number): boolean {
    const current = this.states.get(key)
    return current ? version > current.entry.version : version > this.completeThrough
  }

  private acceptEntry (entry: ReplicaEntry, knownThrough: number): boolean {
    if (!parseObjectKey(entry.key)) return false
    const current = this.states.get(entry.key)
    if (current && entry.version <= current.entry.version) return false
    if (!current && entry.version <= knownThrough) return false
    this.newest = Math.max(this.newest, entry.version)
    this.storeEntry(entry, current)
    this.arrived.next(this.states.get(entry.key)?.entry ?? entry)
    return true
  }

  private storeEntry (entry: ReplicaEntry, current: KeyState | undefined): void {
    const next = this.admitEntry(entry, current)
    if (current) this.toggleHash(current.entry)
    this.states.set(entry.key, next)
    this.toggleHash(next.entry)
    if (next.effectiveVersion === (current?.effectiveVersion ?? 0)) return
    this.changed.next({ key: entry.key, version: next.effectiveVersion, before: current?.effective, after: next.effective })
  }

  private admitEntry (entry: ReplicaEntry, current: KeyState | undefined): KeyState {
    if (entry.value === undefined) return this.admitDeletion(entry)
    const parsed = parseConfigObject(entry.value)
    const error = parsed.isErr() ? parsed.error : checkKey(entry.key, parsed.value)
    if (parsed.isOk() && !error) {
      this.rejections.delete(entry.key)
      return { entry: { key: entry.key, version: entry.version, value: entry.value }, effective: parsed.value, effectiveVersion: entry.version }
    }
    this.rejections.set(entry.key, { key: entry.key, version: entry.version, error: error as PulleystackError })
    return keepAccepted(entry, current)
  }

  private admitDeletion (entry: ReplicaEntry): KeyState {
    this.rejections.delete(entry.key)
    return { entry: { key: entry.key, version: entry.version, value: undefined }, effective: undefined, effectiveVersion: entry.version }
  }

  private dropEntry (key: string, state: KeyState): void {
    this.toggleHash(state.entry)
    this.states.delete(key)
  }

  // Tombstones are not part of the digest because replicas drop them at different times.
  private toggleHash (entry: ReplicaEntry): void {
    if (entry.value === undefined) return
    const bucket = getBucket(entry.key)
    this.buckets[bucket] = ((this.buckets[bucket] ?? 0) ^ hashEntry(entry.key, entry.version)) >>> 0
  }
}

function checkKey (key: string, object: ConfigObject): PulleystackError | undefined {
  const parts = parseObjectKey(key)
  if (parts && parts.kind === object.kind && parts.partner === object.partner && parts.name === object.name) return undefined
  return new PulleystackError('OBJECT_INVALID', `Object is stored under the key ${key} of another object`, { field: 'name' })
}

function keepAccepted (entry: ReplicaEntry, current: KeyState | undefined): KeyState {
  const received = entry.accepted
  const parsed = received && received.version > (current?.effectiveVersion ?? 0) ? parseConfigObject(received.value) : undefined
  const effective = parsed?.isOk() ? parsed.value : current?.effective
  const effectiveVersion = parsed?.isOk() && received ? received.version : current?.effectiveVersion ?? 0
  const accepted = effective ? { version: effectiveVersion, value: effective } : undefined
  return { entry: { key: entry.key, version: entry.version, value: entry.value, accepted }, effective, effectiveVersion }
}
