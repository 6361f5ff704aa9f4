import type { ObjectStore, StoreChange, StoredObject } from '@pulleystack/backend.interfaces'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import { findOwner } from '@pulleystack/core.hashing'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { CopyStates, type CopyState } from './CopyWatch.js'

/** All changes under the prefix after revision `from`, up to revision `to`; none are listed when nothing changed. */
interface FeedNews {
  prefix: string
  from: number
  to: number
  changes: StoreChange[]
}

/** Everything under a prefix as of one revision. */
interface FeedSnapshot {
  revision: number
  objects: StoredObject[]
}

const NEWS = defineChannel<FeedNews>('feed.news')
const SNAPSHOT = defineChannel<{ prefix: string }, FeedSnapshot | undefined>('feed.snapshot')

/** A watcher's call waits this long, so that the others hear from it at least so often. */
const WATCHER_WAIT_MS = 700
/** Who hears nothing for this long watches for itself; with the call it stays well inside what bounds allow. */
const QUIET_MS = 1_100
const OWN_WAIT_MS = 1_200
/** An answer that was processed later than this after its call could end is too old to be news. */
const LATE_MS = 300
const SETTLE_MS = 100
const MIN_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 400
const SNAPSHOT_MS = 400

export interface StoreFeedOptions {
  clock: Clock
  random: RandomSource
  store: ObjectStore
  network: PeerNetwork
  log: DecisionLog
  prefix: string
  instance: string
  /** Live instances that could watch, this one among them. */
  listCandidates: () => readonly string[]
  /** All objects, at first and after a gap. */
  onListing: (objects: readonly StoredObject[]) => void
  /** Changes, in order. */
  onChanges: (changes: readonly StoreChange[]) => void
}

/** One instance's copy of everything under one prefix. Its revision never goes back. */
export class StoreFeed {
  private readonly objects = new Map<string, StoredObject>()
  private revision: number | undefined
  /** Newest revision ever had; what a peer offers after a gap must not be older. */
  private newest = 0
  private freshAt = -Infinity
  private hasGap = false
  private isLost = false
  private isAsking = false
  private regainedAt = -Infinity
  private lostAt = -Infinity
  private backoffMs = MIN_BACKOFF_MS
  private wake: () => void = () => undefined

  constructor (private readonly opts: StoreFeedOptions) {}

  /** Milliseconds since the copy was known to be what the store holds. */
  get ageMs (): number {
    return this.opts.clock.readTime() - this.freshAt
  }

  /** Milliseconds since the store came back; 0 while it is away. */
  get settledMs (): number {
    return this.isLost ? 0 : this.opts.clock.readTime() - this.regainedAt
  }

  /** Milliseconds since the store went away for this instance and those that it hears from; 0 while it answers. */
  get lostMs (): number {
    return this.isLost ? this.opts.clock.readTime() - this.lostAt : 0
  }

  /** Newest revision that this instance has had; 0 before the first listing. */
  get newestRevision (): number {
    return this.newest
  }

  /** What the feed does about its copy now. */
  get state (): CopyState {
    if (this.isLost) return CopyStates.STORE_LOST
    if (this.isAsking) return CopyStates.ASKING
    return this.hasGap ? CopyStates.GAP : CopyStates.LISTENING
  }

  /** Whether this instance watches the store for the others. */
  isWatcher (): boolean {
    return findOwner(`feed/${this.opts.prefix}`, this.opts.listCandidates()) === this.opts.instance
  }

  /** Follows the prefix until the signal ends. */
  start (signal: AbortSignal): void {
    const { network, prefix } = this.opts
    const subscription = network.receive(NEWS).subscribe(({ body }) => {
      if (body.prefix === prefix) this.takeNews(body)
    })
    answerSnapshots(network, prefix, () => this.revision === undefined ? undefined : { revision: this.revision, objects: [...this.objects.values()] })
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
    void this.run(signal)
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.revision === undefined) await this.list(signal)
      else if (this.mustWatch()) await this.watch(signal)
      else await this.rest(signal)
    }
  }

  private mustWatch (): boolean {
    return this.hasGap || this.ageMs >= QUIET_MS || this.isWatcher()
  }

  /** Waits until this instance has to ask for itself. */
  private async rest (signal: AbortSignal): Promise<void> {
    const woken = new AbortController()
    this.wake = () => woken.abort()
    await this.opts.clock.wait(Math.max(1, QUIET_MS - this.ageMs), AbortSignal.any([signal, woken.signal]))
  }

  private async list (signal: AbortSignal): Promise<void> {
    const askedAt = this.opts.clock.readTime()
    const listing = await this.opts.store.listObjects(this.opts.prefix)
    if (signal.aborted) return
    if (listing.isOk()) {
      this.noteAnswered()
      this.replace({ revision: listing.value.version, objects: listing.value.objects }, askedAt)
      return
    }
    await this.askPeers()
    if (this.revision === undefined) await this.backOff(signal, listing.error)
  }

  /** With the store away, what a peer has is better than nothing. */
  private async askPeers (): Promise<void> {
    const { network, prefix } = this.opts
    for (const peer of network.listLinked()) {
      const answer = await network.call(peer, SNAPSHOT, { prefix }, SNAPSHOT_MS)
      if (answer.isErr() || !answer.value || this.revision !== undefined) continue
      if (answer.value.revision < this.newest) continue
      this.replace(answer.value, -Infinity)
      return
    }
  }

  private async watch (signal: AbortSignal): Promise<void> {
    const { clock, store, prefix } = this.opts
    const from = this.revision as number
    const isWatcher = this.isWatcher()
    const waitMs = isWatcher ? WATCHER_WAIT_MS : OWN_WAIT_MS
    const askedAt = clock.readTime()
    this.isAsking = true
    const batch = await store.waitForChanges(prefix, from, waitMs, signal)
    this.isAsking = false
    if (signal.aborted) return
    if (batch.isErr()) {
      if (batch.error.code === 'STORE_COMPACTED') this.revision = undefined
      else await this.backOff(signal, batch.error)
      return
    }
    this.noteAnswered()
    this.hasGap = false
    const news = { prefix, from, to: Math.max(from, batch.value.version), changes: batch.value.changes }
    this.apply(news, clock.readTime())
    if (isWatcher && clock.readTime() - askedAt < waitMs + LATE_MS) this.opts.network.broadcast(NEWS, news)
    if (news.changes.length > 0) await clock.wait(SETTLE_MS, signal)
  }

  private takeNews (news: FeedNews): void {
    if (this.revision === undefined) return
    if (news.from > this.revision) {
      this.hasGap = true
      this.wake()
      return
    }
    // Who knows less than this instance has no news for it.
    if (news.to < this.revision) return
    this.noteAnswered()
    this.apply(news, this.opts.clock.readTime())
  }

  private apply (news: FeedNews, now: number): void {
    const known = this.revision ?? 0
    const changes = news.changes.filter((change) => change.version > known)
    for (const change of changes) {
      if (change.value === undefined) this.objects.delete(change.key)
      else this.objects.set(change.key, change)
    }
    this.revision = Math.max(known, news.to)
    this.newest = this.revision
    this.freshAt = now
    if (changes.length > 0) this.opts.onChanges(changes)
  }

  private replace (snapshot: FeedSnapshot, freshAt: number): void {
    this.objects.clear()
    for (const object of snapshot.objects) this.objects.set(object.key, object)
    this.revision = snapshot.revision
    this.newest = Math.max(this.newest, snapshot.revision)
    this.freshAt = freshAt
    this.hasGap = false
    this.opts.onListing(snapshot.objects)
  }

  private async backOff (signal: AbortSignal, cause: PulleystackError): Promise<void> {
    if (!this.isLost) this.noteLost(cause)
    await this.opts.clock.wait(this.backoffMs * (0.5 + this.opts.random.readFraction()), signal)
    this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2)
  }

  private noteLost (cause: PulleystackError): void {
    this.isLost = true
    this.lostAt = this.opts.clock.readTime()
    const { code, message } = cause
    this.opts.log.record(DecisionKinds.DEPENDENCY_LOST, { dependency: 'store', prefix: this.opts.prefix, revision: this.revision, code, reason: message })
  }

  private noteAnswered (): void {
    this.backoffMs = MIN_BACKOFF_MS
    if (!this.isLost) return
    this.isLost = false
    this.regainedAt = this.opts.clock.readTime()
    this.opts.log.record(DecisionKinds.DEPENDENCY_REGAINED, { dependency: 'store', prefix: this.opts.prefix, revision: this.revision })
  }
}

type SnapshotReader = () => FeedSnapshot | undefined
const snapshotReaders = new WeakMap<PeerNetwork, Map<string, SnapshotReader>>()

/** A channel has one handler, which serves the feeds of all prefixes. */
function answerSnapshots (network: PeerNetwork, prefix: string, read: SnapshotReader): void {
  const present = snapshotReaders.get(network)
  if (present) {
    present.set(prefix, read)
    return
  }
  const readers = new Map([[prefix, read]])
  snapshotReaders.set(network, readers)
  network.handleCalls(SNAPSHOT, (_, asked) => readers.get(asked.prefix)?.())
}
