import { parseConfigObject, parseObjectKey, type ConfigObject } from '@pulleystack/config.objects'
import { PulleystackError } from '@pulleystack/core.errors'
import type { ChangeBatch, StoreListing } from '@pulleystack/backend.interfaces'
import { Subject, type Observable } from 'rxjs'
import { BUCKET_COUNT, combineBuckets, getBucket, hashEntry, type BucketSummary, type ReplicaDigest } from './digest.js'

/** What is held of one key, as it goes between peers. */
export interface ReplicaEntry {
  key: string
  /** Newest version seen, accepted or not. */
  version: number
  /** Raw value of that version; undefined when deleted. */
  value: unknown
  /** The version in force, when the newest was not accepted. */
  accepted?: { version: number, value: unknown }
}

/** A version that did not pass; the one before stays in force. */
export interface Rejection {
  key: string
  version: number
  error: PulleystackError
}

/** A change of what is in force. */
export interface ReplicaChange {
  key: string
  version: number
  before: ConfigObject | undefined
  after: ConfigObject | undefined
}

interface HeldObject {
  entry: ReplicaEntry
  inForce: ConfigObject | undefined
  inForceVersion: number
}

/**
 * The configuration as one instance knows it. For each key only a higher version than the one held is taken,
 * whatever way it came. Deleted keys are remembered until everything up to their version is known; after that
 * an unknown key of an older version can only be one that was deleted, and is refused.
 */
export class ConfigReplica {
  private readonly held = new Map<string, HeldObject>()
  private readonly rejections = new Map<string, Rejection>()
  private readonly buckets: number[] = new Array<number>(BUCKET_COUNT).fill(0)
  private readonly changed = new Subject<ReplicaChange>()
  private readonly arrived = new Subject<ReplicaEntry>()
  private through = 0
  private newest = 0
  private complete = false

  /** Changes of what is in force. */
  get changes (): Observable<ReplicaChange> {
    return this.changed
  }

  /** Every entry that was newer than what was held, to be passed on to peers. */
  get arrivals (): Observable<ReplicaEntry> {
    return this.arrived
  }

  /** Version of the newest change that came in any way; for people. */
  get newestVersion (): number {
    return Math.max(this.newest, this.through)
  }

  /**
   * Everything up to this version is held, as a listing has shown. A watch alone does not move it: one that leaves
   * something out must not make others believe that what it missed was deleted.
   */
  get knownThrough (): number {
    return this.through
  }

  /** True once a whole listing or a whole exchange with a peer was taken in. */
  get isComplete (): boolean {
    return this.complete
  }

  /** Takes one version of one object; false when something as new is held. */
  applyEntry (entry: ReplicaEntry): boolean {
    return this.takeEntry(entry, this.through)
  }

  /** Takes the changes of a watch. */
  applyBatch (batch: ChangeBatch): void {
    for (const change of batch.changes) this.applyEntry(change)
  }

  /** Takes a whole listing. A key that is held but not listed was deleted, unless it is newer than the listing. */
  applyListing (listing: StoreListing): void {
    const listed = new Set(listing.objects.map((object) => object.key))
    // A listing as new as all that is known also proves what a watch with a gap has missed.
    const floor = listing.version >= this.through ? 0 : this.through
    for (const object of listing.objects) this.takeEntry(object, floor)
    for (const [key, held] of this.held) {
      if (listed.has(key) || held.entry.version > listing.version || held.entry.value === undefined) continue
      this.applyEntry({ key, version: listing.version, value: undefined })
    }
    this.advance(listing.version)
  }

  /** Notes that everything up to a version is held, as a listing or a peer with the same content has shown. */
  advance (version: number): void {
    this.complete = true
    if (version <= this.through) return
    this.through = version
    for (const [key, held] of this.held) {
      if (held.entry.value === undefined && held.entry.version <= version) this.dropEntry(key, held)
    }
  }

  readDigest (): ReplicaDigest {
    return { knownThrough: this.through, root: combineBuckets(this.buckets), buckets: [...this.buckets] }
  }

  listBucket (bucket: number): BucketSummary {
    const entries: BucketSummary['entries'] = []
    for (const [key, held] of this.held) {
      if (getBucket(key) === bucket) entries.push([key, held.entry.version])
    }
    return { bucket, knownThrough: this.through, entries }
  }

  /** Takes in a peer's list of one bucket: notes deletions that it proves and gives the keys that the peer has newer. */
  compareBucket (summary: BucketSummary): string[] {
    const theirs = new Map(summary.entries)
    for (const [key, held] of this.held) {
      if (getBucket(key) !== summary.bucket || theirs.has(key) || held.entry.value === undefined) continue
      if (held.entry.version <= summary.knownThrough) this.applyEntry({ key, version: summary.knownThrough, value: undefined })
    }
    return summary.entries.filter(([key, version]) => this.isNewer(key, version)).map(([key]) => key)
  }

  readEntries (keys: readonly string[]): ReplicaEntry[] {
    return keys.flatMap((key) => this.held.get(key)?.entry ?? [])
  }

  /** The object in force under a key. */
  readObject (key: string): ConfigObject | undefined {
    return this.held.get(key)?.inForce
  }

  /** The version in force under a key; 0 when there is none. */
  readVersion (key: string): number {
    return this.held.get(key)?.inForceVersion ?? 0
  }

  /** Every object in force. */
  * listObjects (): Iterable<ConfigObject> {
    for (const held of this.held.values()) {
      if (held.inForce) yield held.inForce
    }
  }

  listRejections (): Rejection[] {
    return [...this.rejections.values()]
  }

  get size (): number {
    return this.held.size
  }

  private isNewer (key: string, version: number): boolean {
    const held = this.held.get(key)
    return held ? version > held.entry.version : version > this.through
  }

  private takeEntry (entry: ReplicaEntry, floor: number): boolean {
    if (!parseObjectKey(entry.key)) return false
    const held = this.held.get(entry.key)
    if (held && entry.version <= held.entry.version) return false
    if (!held && entry.version <= floor) return false
    this.newest = Math.max(this.newest, entry.version)
    this.storeEntry(entry, held)
    this.arrived.next(this.held.get(entry.key)?.entry ?? entry)
    return true
  }

  private storeEntry (entry: ReplicaEntry, held: HeldObject | undefined): void {
    const next = this.admitEntry(entry, held)
    if (held) this.toggleHash(held.entry)
    this.held.set(entry.key, next)
    this.toggleHash(next.entry)
    if (next.inForceVersion === (held?.inForceVersion ?? 0)) return
    this.changed.next({ key: entry.key, version: next.inForceVersion, before: held?.inForce, after: next.inForce })
  }

  private admitEntry (entry: ReplicaEntry, held: HeldObject | undefined): HeldObject {
    if (entry.value === undefined) return this.admitDeletion(entry)
    const parsed = parseConfigObject(entry.value)
    const problem = parsed.isErr() ? parsed.error : checkKey(entry.key, parsed.value)
    if (parsed.isOk() && !problem) {
      this.rejections.delete(entry.key)
      return { entry: { key: entry.key, version: entry.version, value: entry.value }, inForce: parsed.value, inForceVersion: entry.version }
    }
    this.rejections.set(entry.key, { key: entry.key, version: entry.version, error: problem as PulleystackError })
    return keepAccepted(entry, held)
  }

  private admitDeletion (entry: ReplicaEntry): HeldObject {
    this.rejections.delete(entry.key)
    return { entry: { key: entry.key, version: entry.version, value: undefined }, inForce: undefined, inForceVersion: entry.version }
  }

  private dropEntry (key: string, held: HeldObject): void {
    this.toggleHash(held.entry)
    this.held.delete(key)
  }

  // Tombstones stay out of the digest: peers forget them at different times.
  private toggleHash (entry: ReplicaEntry): void {
    if (entry.value === undefined) return
    const bucket = getBucket(entry.key)
    this.buckets[bucket] = ((this.buckets[bucket] ?? 0) ^ hashEntry(entry.key, entry.version)) >>> 0
  }
}

function checkKey (key: string, object: ConfigObject): PulleystackError | undefined {
  const parts = parseObjectKey(key)
  if (parts && parts.kind === object.kind && parts.partner === object.partner && parts.name === object.name) return undefined
  return new PulleystackError('OBJECT_INVALID', `Object stands under the key ${key}, which belongs to another`, { field: 'name' })
}

function keepAccepted (entry: ReplicaEntry, held: HeldObject | undefined): HeldObject {
  const sent = entry.accepted
  const parsed = sent && sent.version > (held?.inForceVersion ?? 0) ? parseConfigObject(sent.value) : undefined
  const inForce = parsed?.isOk() ? parsed.value : held?.inForce
  const inForceVersion = parsed?.isOk() && sent ? sent.version : held?.inForceVersion ?? 0
  const accepted = inForce ? { version: inForceVersion, value: inForce } : undefined
  return { entry: { key: entry.key, version: entry.version, value: entry.value, accepted }, inForce, inForceVersion }
}
