import { readRevision, type StoreListing } from '@pulleystack/backend.interfaces'
import { PulleystackError } from '@pulleystack/core.errors'
import { keepRunning } from '@pulleystack/core.tasks'
import { measureSend } from '@pulleystack/membership.peers'
import { serveSnapshots } from './serveSnapshots.js'
import { findOrCreateBudget, type ByteBudget } from './ByteBudget.js'
import { UPDATE, NOTICE, type FeedUpdate, type FeedSnapshot, type RevisionSpan } from './channels.js'
import { ReplicaStates, type ReplicaState } from './StalenessMonitor.js'
import { FeedReplica, keepNewest, measureValue } from './FeedReplica.js'
import { PeerSnapshots } from './PeerSnapshots.js'
import { buildRestoreUpdate, isOfLaterEpoch, recordRejected, recordReset, recordRestored } from './replicaRecords.js'
import { StoreAvailability } from './StoreAvailability.js'
import type { StoreFeedOptions } from './StoreFeedOptions.js'
import { WatcherElection } from './WatcherElection.js'

/** Also the longest interval between two updates to the other instances. */
const MAX_WATCHER_WAIT_MS = 700
/** A watcher's call returns before replicas reach this age, so that an update arrives before SELF_WATCH_AGE_MS. */
const UPDATE_DUE_AGE_MS = 900
const MIN_WAIT_MS = 50
/** A call that doesn't wait shows at once whether the store responds, and what a failed watch has missed. */
const PROBE_WAIT_MS = 1
/** Age of the replica at which an instance other than the watcher calls the store itself. */
const SELF_WATCH_AGE_MS = 1_100
/** Together with SELF_WATCH_AGE_MS below the 2 s within which a change must take effect. */
const SELF_WATCH_WAIT_MS = 300
/**
 * Delay after a response with changes, to batch the changes that follow: at most three calls a second, for 0.3 s of the 2 s in which a change must take
 * effect.
 */
const COALESCE_MS = 300
const MAX_WATCHER_BACKOFF_MS = 400
/** Combined rate of calls from all other instances during an outage; the watcher notifies them when the store is back. */
const FOLLOWER_RETRIES_PER_SECOND = 10
/** Limits how often an instance fetches changes that were announced to it. */
const MIN_FETCH_INTERVAL_MS = 400
/** How long the store may take before peers are called as well. */
const PEER_FALLBACK_DELAY_MS = 250
/** A replica this old is listed again: its missing history may be too large for the link. A few slow responses don't reach this age. */
const RELIST_AGE_MS = 3_000
/** A listing up to this size is always cheaper than many versions of few objects; about 26 ms on a 10 Mbit/s link. */
const SMALL_LISTING_BYTES = 32_000

/** Consecutive listings older than the replica that show that the replica's state never was in this store. */
const REJECTIONS_BEFORE_RESET = 3

/** One instance's replica of all objects under one prefix. Its version, of epoch and revision, never decreases except by a reset. */
export class StoreFeed {
  private readonly replica = new FeedReplica()
  private readonly budget: ByteBudget
  private readonly election: WatcherElection
  private readonly peers: PeerSnapshots
  private readonly availability: StoreAvailability
  /** Monotonic time in milliseconds at which the replica was known to match the store. */
  private freshAt = -Infinity
  /** Newest revision that a peer announced, that peer, and the bytes of the changes that were not sent since the replica's revision. */
  private announced = { revision: 0, peer: '', bytes: 0 }
  private fetchedAt = -Infinity
  private pendingFetch: Promise<unknown> | undefined
  /** The store compacted the history after the replica's revision; only a listing or a peer can bring the replica up to date. */
  private mustRelist = false
  private rejections = 0
  private isCallingStore = false
  private wake: () => void = () => undefined

  constructor (private readonly opts: StoreFeedOptions) {
    this.budget = findOrCreateBudget(opts.clock, opts.network)
    this.election = new WatcherElection(opts)
    this.peers = new PeerSnapshots(opts)
    const { clock, log, prefix, minExpiryMs } = opts
    this.availability = new StoreAvailability({ clock, log, prefix, minExpiryMs, readRevision: () => this.readRevision() })
  }

  /** Milliseconds since the replica was last known to match the store; infinite if it never was. */
  get ageMs (): number {
    return this.opts.clock.readTime() - this.freshAt
  }

  /** Milliseconds since the end of the last outage in which objects may have expired; 0 while calls fail. */
  get msSinceRecovery (): number {
    return this.availability.sinceRecoveryMs
  }

  /** Milliseconds since the store became unavailable to this instance and its peers; 0 while it is available. */
  get outageMs (): number {
    return this.availability.outageMs
  }

  get prefix (): string {
    return this.opts.prefix
  }

  /** Highest revision that the replica reached, as the store numbers it within its epoch; 0 before the first listing. */
  get newestRevision (): number {
    return readRevision(this.replica.newestVersion)
  }

  get state (): ReplicaState {
    if (this.availability.isLost) return ReplicaStates.STORE_LOST
    if (this.isCallingStore) return ReplicaStates.ASKING
    return this.isBehind ? ReplicaStates.GAP : ReplicaStates.LISTENING
  }

  /** Whether this instance watches the store on behalf of the others. */
  isWatcher (): boolean {
    return this.election.isWatcher()
  }

  /** Follows the prefix until the signal aborts. */
  start (signal: AbortSignal): void {
    const { clock, network, prefix } = this.opts
    const subscriptions = [
      network.receive(UPDATE).subscribe(({ from, body }) => {
        if (body.prefix === prefix) this.handleUpdate(from, body)
      }),
      network.receive(NOTICE).subscribe(({ from, body }) => {
        if (body.prefix === prefix) this.handleNotice(from, body, body.bytes)
      }),
    ]
    this.election.start(signal)
    serveSnapshots(clock, network, { prefix, replica: this.replica, readFreshAt: () => this.freshAt })
    signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
    keepRunning({ task: `feed of ${prefix}`, clock, signal, run: () => this.run(signal) })
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.replica.revision === undefined || this.mustRelist) await this.loadReplica(signal)
      else if (this.isWatcher()) await this.watchOrRelist(signal)
      else if (this.isBehind) await this.pullAnnounced(signal)
      else if (this.ageMs >= SELF_WATCH_AGE_MS) await this.watchOrRelist(signal)
      else await this.waitUntilStale(signal)
    }
  }

  /** Whether a peer announced changes that the replica lacks. */
  private get isBehind (): boolean {
    return this.announced.revision > (this.replica.revision ?? 0)
  }

  /** Waits until this instance has to call the store itself. */
  private async waitUntilStale (signal: AbortSignal): Promise<void> {
    const waking = new AbortController()
    this.wake = () => waking.abort()
    await this.opts.clock.wait(Math.max(1, SELF_WATCH_AGE_MS - this.ageMs), AbortSignal.any([signal, waking.signal]))
  }

  /** Loads the replica with a listing, or from a peer if the store is unavailable. */
  private async loadReplica (signal: AbortSignal): Promise<void> {
    const failure = await this.listObjects(signal)
    if (!failure || signal.aborted) return
    await this.pullFromPeers(this.opts.network.listLinked())
    if (this.replica.revision === undefined || this.mustRelist) await this.backOff(signal, failure)
  }

  private async watchOrRelist (signal: AbortSignal): Promise<void> {
    const failure = this.ageMs >= RELIST_AGE_MS ? await this.listObjects(signal) : await this.watch(signal)
    if (failure) await this.backOff(signal, failure)
  }

  /** Gets announced changes from the store, and from peers if the store takes too long. */
  private async pullAnnounced (signal: AbortSignal): Promise<void> {
    const { clock } = this.opts
    const pauseMs = this.fetchedAt + MIN_FETCH_INTERVAL_MS - clock.readTime()
    if (pauseMs > 0) {
      await clock.wait(pauseMs, signal)
      return
    }
    this.fetchedAt = clock.readTime()
    this.pendingFetch ??= this.pullFromStore(signal).finally(() => {
      this.pendingFetch = undefined
    })
    await Promise.race([this.pendingFetch, clock.wait(PEER_FALLBACK_DELAY_MS, signal)])
    if (this.isBehind && !signal.aborted) await this.pullFromPeers(this.peers.choosePeers(this.announced.peer))
  }

  private async pullFromStore (signal: AbortSignal): Promise<void> {
    const mayList = this.replica.bytes <= Math.max(SMALL_LISTING_BYTES, this.announced.bytes)
    const failure = mayList ? await this.listObjects(signal) : await this.watch(signal)
    if (failure) this.availability.recordFailure(failure)
  }

  private async listObjects (signal: AbortSignal): Promise<PulleystackError | undefined> {
    const { clock, store, prefix } = this.opts
    const { announced } = this
    const newestBefore = this.replica.newestVersion
    const calledAt = clock.readTime()
    const listing = await this.runStoreCall(store.listObjects(prefix))
    if (signal.aborted) return undefined
    if (listing.isErr()) return listing.error
    this.recordAnswer(calledAt)
    const update = buildRestoreUpdate(prefix, this.replica, listing.value, calledAt)
    const isAccepted = this.replace({ revision: listing.value.version, objects: listing.value.objects, knownAt: calledAt })
    this.clearAnnounced(announced)
    if (isAccepted && update && this.isWatcher()) this.sendUpdate(update)
    this.rejections = isAccepted || this.replica.newestVersion !== newestBefore ? 0 : this.rejections + 1
    if (this.rejections === 0) return undefined
    if (this.rejections < REJECTIONS_BEFORE_RESET) return new PulleystackError('STORE_ANSWER_INVALID', 'The listing is older than the replica')
    this.reset(listing.value, calledAt)
    return undefined
  }

  /** Replaces the replica with an older listing, after a peer sent changes that were never in the store. */
  private reset ({ version, objects }: StoreListing, knownAt: number): void {
    recordReset(this.opts, { version, replicaVersion: this.replica.newestVersion })
    this.replica.reset(version, objects)
    this.rejections = 0
    this.mustRelist = false
    this.announced = { revision: 0, peer: '', bytes: 0 }
    this.freshAt = knownAt
    this.availability.recordRecovery()
    this.opts.onListing(objects, { version, isRestored: true })
  }

  private async watch (signal: AbortSignal): Promise<PulleystackError | undefined> {
    const isWatcher = this.isWatcher()
    const waitMs = this.computeWait(isWatcher)
    const failure = await this.callWatch({ isWatcher, waitMs }, signal)
    // A waiting call may be cut off although the store serves all others.
    if (failure === undefined || signal.aborted || waitMs === PROBE_WAIT_MS) return failure
    this.election.announceFailure()
    return this.callWatch({ isWatcher, waitMs: PROBE_WAIT_MS }, signal)
  }

  /** Calls the store once for changes and applies them; returns why the call failed. */
  private async callWatch ({ isWatcher, waitMs }: { isWatcher: boolean, waitMs: number }, signal: AbortSignal): Promise<PulleystackError | undefined> {
    const { clock, store, prefix } = this.opts
    const { announced } = this
    const from = this.replica.revision as number
    const calledAt = clock.readTime()
    const batch = await this.runStoreCall(store.waitForChanges(prefix, from, waitMs, signal))
    if (signal.aborted) return undefined
    if (batch.isErr()) {
      if (batch.error.code !== 'STORE_COMPACTED') return batch.error
      this.mustRelist = true
      return undefined
    }
    this.recordAnswer(calledAt)
    const changes = keepNewest(batch.value.changes)
    // The store delays an empty response for the whole wait, so it is current as of the end of the wait.
    const isFullWait = changes.length === 0 && clock.readTime() - calledAt >= waitMs
    const update = { prefix, from, to: Math.max(from, batch.value.version), knownAt: isFullWait ? calledAt + waitMs : calledAt, changes }
    this.apply(update, update.knownAt)
    this.clearAnnounced(announced)
    if (isWatcher) this.sendUpdate(update)
    if (changes.length > 0) await clock.wait(COALESCE_MS, signal)
    return undefined
  }

  private computeWait (isWatcher: boolean): number {
    if (this.availability.isLost) return PROBE_WAIT_MS
    if (!isWatcher) return SELF_WATCH_WAIT_MS
    const dueMs = Math.round(this.freshAt + UPDATE_DUE_AGE_MS - this.opts.clock.readTime())
    return Math.min(MAX_WATCHER_WAIT_MS, Math.max(MIN_WAIT_MS, dueMs))
  }

  /** Records a response to a call that was made at the given time, before the replica is updated. */
  private recordAnswer (calledAt: number): void {
    this.election.recordAnswer()
    this.availability.recordAnswer(calledAt - this.freshAt)
  }

  /** Sends changes to all instances, or only a notice if the byte budget doesn't allow it. */
  private sendUpdate (update: FeedUpdate): void {
    const { network } = this.opts
    const bytes = measureSend(UPDATE, update) * network.countBroadcastPeers()
    if (update.changes.length === 0 || this.budget.trySpend(bytes)) {
      network.broadcast(UPDATE, update)
      return
    }
    const { changes, ...span } = update
    network.broadcast(NOTICE, { ...span, bytes: changes.reduce((sum, change) => sum + measureValue(change.value), 0) })
  }

  private handleUpdate (from: string, update: FeedUpdate): void {
    const { revision } = this.replica
    if (revision === undefined || update.to < revision) return
    // An update into a later epoch applies to its `from` revision only; a later replica may have objects that the store lost.
    if (update.from > revision || (update.from < revision && isOfLaterEpoch(update.to, revision))) {
      this.handleNotice(from, update, update.changes.reduce((sum, change) => sum + measureValue(change.value), 0))
      return
    }
    const knownAt = this.peers.convertTime(from, update.knownAt)
    this.availability.recordPeerAnswer(knownAt, knownAt - this.freshAt)
    this.apply(update, knownAt)
  }

  private handleNotice (from: string, span: RevisionSpan, bytes: number): void {
    const { revision } = this.replica
    if (revision === undefined || span.to < revision) return
    const knownAt = this.peers.convertTime(from, span.knownAt)
    this.availability.recordPeerAnswer(knownAt, knownAt - this.freshAt)
    if (span.to === revision) {
      this.freshAt = Math.max(this.freshAt, knownAt)
      return
    }
    if (span.to > this.announced.revision) this.announced = { revision: span.to, peer: from, bytes: (this.isBehind ? this.announced.bytes : 0) + bytes }
    this.wake()
  }

  /** Clears an announcement made before a call to the store; one made during the call may be newer than the response. */
  private clearAnnounced (announced: { revision: number }): void {
    if (this.announced.revision === announced.revision) this.announced = { revision: 0, peer: '', bytes: 0 }
  }

  /** Accepts the snapshot of the first peer that has a newer one. */
  private async pullFromPeers (peers: readonly string[]): Promise<void> {
    const oldest = this.replica.newestVersion - 1
    const snapshot = await this.peers.request(peers, () => this.replica.revision ?? oldest)
    if (snapshot) this.replace(snapshot)
  }

  private apply (update: FeedUpdate, knownAt: number): void {
    const previous = this.replica.newestVersion
    const applied = this.replica.apply(update.changes, update.to)
    this.freshAt = Math.max(this.freshAt, knownAt)
    this.mustRelist = false
    if (isOfLaterEpoch(update.to, previous)) this.handleRestore(previous, applied.length)
    else if (applied.length > 0) this.opts.onChanges(applied)
  }

  /** Returns false if the replica is newer. */
  private replace (snapshot: FeedSnapshot): boolean {
    const { revision, objects, knownAt } = snapshot
    const previous = this.replica.newestVersion
    const differences = previous > 0 && isOfLaterEpoch(revision, previous) ? this.replica.listDifferences(revision, objects) : undefined
    if (!this.replica.replace(revision, objects)) {
      recordRejected(this.opts, { version: revision, replicaVersion: this.replica.newestVersion })
      return false
    }
    this.freshAt = Math.max(this.freshAt, knownAt)
    this.mustRelist = false
    if (differences) this.handleRestore(previous, differences.length)
    else this.opts.onListing(objects, { version: revision, isRestored: false })
    return true
  }

  /** Treats a restored store as just recovered, and passes all objects on as a listing. */
  private handleRestore (previous: number, changed: number): void {
    const { newestVersion } = this.replica
    this.availability.recordRecovery()
    recordRestored(this.opts, { version: newestVersion, previous, changed })
    this.opts.onListing(this.replica.list(), { version: newestVersion, isRestored: true })
  }

  private async runStoreCall<T> (call: Promise<T>): Promise<T> {
    this.isCallingStore = true
    try {
      return await call
    } finally {
      this.isCallingStore = false
    }
  }

  private async backOff (signal: AbortSignal, cause: PulleystackError): Promise<void> {
    this.election.announceFailure()
    this.availability.recordFailure(cause)
    const pauseMs = this.availability.takeBackoff(this.computeMaxBackoff())
    await this.opts.clock.wait(pauseMs * (0.5 + this.opts.random.readFraction()), signal)
  }

  /** Instances that have a replica and don't watch share a retry rate, since the watcher notifies them. */
  private computeMaxBackoff (): number {
    const { listCandidates } = this.opts
    if (this.replica.revision === undefined || this.isWatcher()) return MAX_WATCHER_BACKOFF_MS
    return Math.max(MAX_WATCHER_BACKOFF_MS, listCandidates().length * 1_000 / FOLLOWER_RETRIES_PER_SECOND)
  }

  /** The replica's revision as the store numbers it within its epoch. */
  private readRevision (): number | undefined {
    const { revision } = this.replica
    return revision === undefined ? undefined : readRevision(revision)
  }
}
