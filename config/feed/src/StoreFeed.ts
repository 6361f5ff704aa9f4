import { readRevision, type StoreListing } from '@pulleystack/backend.interfaces'
import { PulleystackError } from '@pulleystack/core.errors'
import { listRanked } from '@pulleystack/core.hashing'
import { measureSend } from '@pulleystack/membership.peers'
import { answerSnapshots } from './answerSnapshots.js'
import { findBudget, type ByteBudget } from './ByteBudget.js'
import { NEWS, NOTICE, SNAPSHOT, type FeedNews, type FeedSnapshot, type FeedSpan } from './channels.js'
import { CopyStates, type CopyState } from './CopyWatch.js'
import { FeedCopy, keepNewest, measureValue } from './FeedCopy.js'
import { describeRestored, isOfLaterEpoch, recordRefused, recordReset, recordRestored } from './restoredCopies.js'
import { StoreContact } from './StoreContact.js'
import type { StoreFeedOptions } from './StoreFeedOptions.js'
import { WatcherChoice } from './WatcherChoice.js'

/** A watcher's call waits this long at most, so that the others hear from it at least so often. */
const WATCHER_WAIT_MS = 700
/** A watcher's call asks to be answered before copies are this old, so that nobody gets to QUIET_MS on the way of the news. */
const NEWS_DUE_MS = 900
/** Milliseconds; shorter waits would only add calls. */
const MIN_WAIT_MS = 50
/** Whoever has a copy this old watches for itself; with the call it stays well inside what bounds allow. */
const QUIET_MS = 1_100
/** With QUIET_MS before it, a copy is 1.4 s old at most when such a call is answered, inside the 2 s of the bound for changes. */
const OWN_WAIT_MS = 300
/**
 * After changes the next call waits, so that those of many servers come together: three calls a second at the most, and a change is known 0.3 s
 * later than it could be, about a seventh of the tightest bound for changes (2 s).
 */
const SETTLE_MS = 300
/** Longest pause of the instance that watches, on whose news the others rely. */
const MAX_BACKOFF_MS = 400
/** Calls a second that the others make together while they all have lost the store; each of them would hear from the watcher when it is back. */
const IDLE_RETRIES_PER_SECOND = 10
/** A peer that answers at all does so in milliseconds; this many of them fit into the bound for changes. */
const SNAPSHOT_MS = 400
/** An instance that is told of changes asks for them this often at most: 2.5 reads a second whatever changes, a fifth of the bound for changes. */
const FETCH_PAUSE_MS = 400
/** The store answers in milliseconds; who waits longer for it asks a peer as well. */
const STORE_PATIENCE_MS = 250
/** Peers that are asked at one time for what the store does not give. */
const PEERS_ASKED = 3
/**
 * A copy that old is listed anew: the history since may hold many versions of one object, and more than its link bears within a call. Calls that
 * fail for no more than a slow answer or two do not come to this.
 */
const FAR_BEHIND_MS = 3_000
/** A listing up to this size is never worse than many versions of few objects: 26 ms of a link of 10 Mbit/s. */
const SMALL_LISTING_BYTES = 32_000

/** So many listings in a row that are older than the copy, though it stood before they were asked for, show that the copy is not of this store. */
const REFUSALS_BEFORE_RESET = 3

/** One instance's copy of everything under one prefix. Its revision, an epoch's and a number, never goes back. */
export class StoreFeed {
  private readonly copy = new FeedCopy()
  private readonly budget: ByteBudget
  private readonly watcher: WatcherChoice
  private readonly contact: StoreContact
  /** Time of the own clock at which the store surely held nothing that the copy lacks. */
  private freshAt = -Infinity
  /** Newest revision that peers told of, who told it, and the size of what was left out since the copy's revision. */
  private told = { revision: 0, by: '', bytes: 0 }
  private fetchedAt = -Infinity
  private asking: Promise<unknown> | undefined
  /** The store's history since the copy is gone, so that only a listing, or a peer's news of it, brings the copy up to date. */
  private mustList = false
  private refusals = 0
  private isAsking = false
  private wake: () => void = () => undefined

  constructor (private readonly opts: StoreFeedOptions) {
    this.budget = findBudget(opts.clock, opts.network)
    this.watcher = new WatcherChoice(opts)
    const { clock, log, prefix } = opts
    this.contact = new StoreContact({ clock, log, prefix, readRevision: () => this.readRevision() })
  }

  /** Milliseconds since the copy was known to be what the store holds, counted from the store's answer, whoever got it. */
  get ageMs (): number {
    return this.opts.clock.readTime() - this.freshAt
  }

  /** Milliseconds since the store came back; 0 while it is away. */
  get settledMs (): number {
    return this.contact.settledMs
  }

  /** Milliseconds since the store went away for this instance and those that it hears from; 0 while it answers. */
  get lostMs (): number {
    return this.contact.lostMs
  }

  get prefix (): string {
    return this.opts.prefix
  }

  /** Newest revision that this instance has had, as the store counts in its present epoch; 0 before the first listing. */
  get newestRevision (): number {
    return readRevision(this.copy.newest)
  }

  /** What the feed does about its copy now. */
  get state (): CopyState {
    if (this.contact.isLost) return CopyStates.STORE_LOST
    if (this.isAsking) return CopyStates.ASKING
    return this.isBehind ? CopyStates.GAP : CopyStates.LISTENING
  }

  /** Whether this instance watches the store for the others. */
  isWatcher (): boolean {
    return this.watcher.isWatcher()
  }

  /** Follows the prefix until the signal ends. */
  start (signal: AbortSignal): void {
    const { clock, network, prefix } = this.opts
    const subscriptions = [
      network.receive(NEWS).subscribe(({ from, body }) => {
        if (body.prefix === prefix) this.takeNews(from, body)
      }),
      network.receive(NOTICE).subscribe(({ from, body }) => {
        if (body.prefix === prefix) this.takeNotice(from, body, body.bytes)
      }),
    ]
    this.watcher.start(signal)
    answerSnapshots(clock, network, { prefix, copy: this.copy, readFreshAt: () => this.freshAt })
    signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
    void this.run(signal)
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.copy.revision === undefined || this.mustList) await this.begin(signal)
      else if (this.isWatcher()) await this.keepWatch(signal)
      else if (this.isBehind) await this.followNotice(signal)
      else if (this.ageMs >= QUIET_MS) await this.keepWatch(signal)
      else await this.rest(signal)
    }
  }

  /** Peers told of changes that this instance does not have. */
  private get isBehind (): boolean {
    return this.told.revision > (this.copy.revision ?? 0)
  }

  /** Waits until this instance has to ask for itself. */
  private async rest (signal: AbortSignal): Promise<void> {
    const woken = new AbortController()
    this.wake = () => woken.abort()
    await this.opts.clock.wait(Math.max(1, QUIET_MS - this.ageMs), AbortSignal.any([signal, woken.signal]))
  }

  /** Gets a first copy; with the store away, what a peer has is better than nothing. */
  private async begin (signal: AbortSignal): Promise<void> {
    const failure = await this.list(signal)
    if (!failure || signal.aborted) return
    await this.askPeers(this.opts.network.listLinked())
    if (this.copy.revision === undefined || this.mustList) await this.backOff(signal, failure)
  }

  private async keepWatch (signal: AbortSignal): Promise<void> {
    const failure = this.ageMs >= FAR_BEHIND_MS ? await this.list(signal) : await this.watch(signal)
    if (failure) await this.backOff(signal, failure)
  }

  /** Asks the store for what peers told of, and a peer when the store does not give it soon. */
  private async followNotice (signal: AbortSignal): Promise<void> {
    const { clock } = this.opts
    const pauseMs = this.fetchedAt + FETCH_PAUSE_MS - clock.readTime()
    if (pauseMs > 0) {
      await clock.wait(pauseMs, signal)
      return
    }
    this.fetchedAt = clock.readTime()
    this.asking ??= this.askStore(signal).finally(() => {
      this.asking = undefined
    })
    await Promise.race([this.asking, clock.wait(STORE_PATIENCE_MS, signal)])
    if (this.isBehind && !signal.aborted) await this.askPeers(this.choosePeers())
  }

  private async askStore (signal: AbortSignal): Promise<void> {
    const mayList = this.copy.bytes <= Math.max(SMALL_LISTING_BYTES, this.told.bytes)
    const failure = mayList ? await this.list(signal) : await this.watch(signal)
    if (failure) this.contact.noteLost(failure)
  }

  private async list (signal: AbortSignal): Promise<PulleystackError | undefined> {
    const { clock, store, prefix } = this.opts
    const { told } = this
    const held = this.copy.newest
    const askedAt = clock.readTime()
    const listing = await this.showAsking(store.listObjects(prefix))
    if (signal.aborted) return undefined
    if (listing.isErr()) return listing.error
    this.watcher.noteAnswered()
    this.contact.noteAnswered()
    const news = describeRestored(prefix, this.copy, listing.value, askedAt)
    const isTaken = this.replace({ revision: listing.value.version, objects: listing.value.objects, knownAt: askedAt })
    this.forgetTold(told)
    if (isTaken && news && this.isWatcher()) this.tellNews(news)
    this.refusals = isTaken || this.copy.newest !== held ? 0 : this.refusals + 1
    if (this.refusals === 0) return undefined
    if (this.refusals < REFUSALS_BEFORE_RESET) return new PulleystackError('STORE_ANSWER_INVALID', 'The listing is older than what is held')
    this.reset(listing.value, askedAt)
    return undefined
  }

  /** Takes what the store itself says for the truth: a peer told of what it never had. */
  private reset ({ version, objects }: StoreListing, knownAt: number): void {
    recordReset(this.opts, { version, held: this.copy.newest })
    this.copy.reset(version, objects)
    this.refusals = 0
    this.mustList = false
    this.told = { revision: 0, by: '', bytes: 0 }
    this.freshAt = knownAt
    this.contact.noteReturned()
    this.opts.onListing(objects, { version, isRestored: true })
  }

  private async watch (signal: AbortSignal): Promise<PulleystackError | undefined> {
    const { clock, store, prefix } = this.opts
    const { told } = this
    const from = this.copy.revision as number
    const isWatcher = this.isWatcher()
    const askedAt = clock.readTime()
    const waitMs = isWatcher ? this.computeWait() : OWN_WAIT_MS
    const batch = await this.showAsking(store.waitForChanges(prefix, from, waitMs, signal))
    if (signal.aborted) return undefined
    if (batch.isErr()) {
      if (batch.error.code !== 'STORE_COMPACTED') return batch.error
      this.mustList = true
      return undefined
    }
    this.watcher.noteAnswered()
    this.contact.noteAnswered()
    const changes = keepNewest(batch.value.changes)
    // The store holds an answer without changes back for the time asked, so that it is as new as the end of that time.
    const isWhole = changes.length === 0 && clock.readTime() - askedAt >= waitMs
    const news = { prefix, from, to: Math.max(from, batch.value.version), knownAt: isWhole ? askedAt + waitMs : askedAt, changes }
    this.apply(news, news.knownAt)
    this.forgetTold(told)
    if (isWatcher) this.tellNews(news)
    if (changes.length > 0) await clock.wait(SETTLE_MS, signal)
    return undefined
  }

  private computeWait (): number {
    const dueMs = Math.round(this.freshAt + NEWS_DUE_MS - this.opts.clock.readTime())
    return Math.min(WATCHER_WAIT_MS, Math.max(MIN_WAIT_MS, dueMs))
  }

  /** Sends changes to all while the own link bears it, else only that there were some. */
  private tellNews (news: FeedNews): void {
    const { network } = this.opts
    const bytes = measureSend(NEWS, news) * network.countReached()
    if (news.changes.length === 0 || this.budget.tryTake(bytes)) {
      network.broadcast(NEWS, news)
      return
    }
    const { changes, ...span } = news
    network.broadcast(NOTICE, { ...span, bytes: changes.reduce((sum, change) => sum + measureValue(change.value), 0) })
  }

  private takeNews (from: string, news: FeedNews): void {
    const { revision } = this.copy
    // Who knows less than this instance has no news for it.
    if (revision === undefined || news.to < revision) return
    // What another epoch changes is told for one revision; beyond it this copy may hold what the store has lost.
    if (news.from > revision || (news.from < revision && isOfLaterEpoch(news.to, revision))) {
      this.takeNotice(from, news, news.changes.reduce((sum, change) => sum + measureValue(change.value), 0))
      return
    }
    const knownAt = this.convertTime(from, news.knownAt)
    this.contact.noteHeard(knownAt)
    this.apply(news, knownAt)
  }

  private takeNotice (from: string, span: FeedSpan, bytes: number): void {
    const { revision } = this.copy
    if (revision === undefined || span.to < revision) return
    const knownAt = this.convertTime(from, span.knownAt)
    this.contact.noteHeard(knownAt)
    if (span.to === revision) {
      this.freshAt = Math.max(this.freshAt, knownAt)
      return
    }
    if (span.to > this.told.revision) this.told = { revision: span.to, by: from, bytes: (this.isBehind ? this.told.bytes : 0) + bytes }
    this.wake()
  }

  /** What is told while the store is asked may be newer than its answer; what was told before is not. */
  private forgetTold (told: { revision: number }): void {
    if (this.told.revision === told.revision) this.told = { revision: 0, by: '', bytes: 0 }
  }

  /** The one that told of the changes, and others in case it has no time. */
  private choosePeers (): string[] {
    const { network, instance } = this.opts
    const others = listRanked(instance, network.listLinked().filter((peer) => peer !== this.told.by), (peer) => peer)
    return [this.told.by, ...others].slice(0, PEERS_ASKED)
  }

  /** Takes the copy of the first of some peers that has a newer one. */
  private async askPeers (peers: readonly string[]): Promise<void> {
    const { network, prefix } = this.opts
    const after = this.copy.newest
    for (const peer of peers) {
      const answer = await network.call(peer, SNAPSHOT, { prefix, after: this.copy.revision ?? after - 1 }, SNAPSHOT_MS)
      if (answer.isErr() || !answer.value) continue
      const { revision, objects, knownAt } = answer.value
      this.replace({ revision, objects, knownAt: this.convertTime(peer, knownAt) })
      return
    }
  }

  /**
   * The own time at which it was at least what a peer says; without an end when that is not known. A message of a peer's former life has a time of
   * another clock, which may seem to lie ahead; a peer of another version may say none.
   */
  private convertTime (peer: string, theirTime: number): number {
    const time = this.opts.network.convertTime(peer, theirTime) ?? -Infinity
    return Number.isNaN(time) ? -Infinity : Math.min(time, this.opts.clock.readTime())
  }

  private apply (news: FeedNews, knownAt: number): void {
    const former = this.copy.newest
    const applied = this.copy.apply(news.changes, news.to)
    this.freshAt = Math.max(this.freshAt, knownAt)
    this.mustList = false
    if (isOfLaterEpoch(news.to, former)) this.noteRestored(former, applied.length)
    else if (applied.length > 0) this.opts.onChanges(applied)
  }

  /** False when what is held is newer. */
  private replace (snapshot: FeedSnapshot): boolean {
    const { revision, objects, knownAt } = snapshot
    const former = this.copy.newest
    const differences = former > 0 && isOfLaterEpoch(revision, former) ? this.copy.listDifferences(revision, objects) : undefined
    if (!this.copy.replace(revision, objects)) {
      recordRefused(this.opts, { version: revision, held: this.copy.newest })
      return false
    }
    this.freshAt = Math.max(this.freshAt, knownAt)
    this.mustList = false
    if (differences) this.noteRestored(former, differences.length)
    else this.opts.onListing(objects, { version: revision, isRestored: false })
    return true
  }

  /** The copy is of a later epoch now; what came of the older one may be written again only after a while. */
  private noteRestored (former: number, changed: number): void {
    const { newest } = this.copy
    this.contact.noteReturned()
    recordRestored(this.opts, { version: newest, former, changed })
    this.opts.onListing(this.copy.list(), { version: newest, isRestored: true })
  }

  private async showAsking<T> (call: Promise<T>): Promise<T> {
    this.isAsking = true
    try {
      return await call
    } finally {
      this.isAsking = false
    }
  }

  private async backOff (signal: AbortSignal, cause: PulleystackError): Promise<void> {
    this.watcher.noteFailed()
    this.contact.noteLost(cause)
    const pauseMs = this.contact.takeBackoff(this.computeMaxBackoff())
    await this.opts.clock.wait(pauseMs * (0.5 + this.opts.random.readFraction()), signal)
  }

  /** Whoever has a copy and does not watch hears from the watcher, so that its own calls may be few. */
  private computeMaxBackoff (): number {
    const { listCandidates } = this.opts
    if (this.copy.revision === undefined || this.isWatcher()) return MAX_BACKOFF_MS
    return Math.max(MAX_BACKOFF_MS, listCandidates().length * 1_000 / IDLE_RETRIES_PER_SECOND)
  }

  /** The store's own number of the copy's revision, for the log. */
  private readRevision (): number | undefined {
    const { revision } = this.copy
    return revision === undefined ? undefined : readRevision(revision)
  }
}
