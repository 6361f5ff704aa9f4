import { listDifferentBuckets, type BucketSummary, type ConfigReplica, type ReplicaDigest, type ReplicaEntry } from '@pulleystack/config.replica'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { listRanked } from '@pulleystack/core.hashing'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { MembershipView } from '@pulleystack/membership.view'
import { watchObjects, type ObjectStore, type WatchItem } from '@pulleystack/backend.interfaces'
import { filter, type Subscription } from 'rxjs'

const RELAY = defineChannel<ReplicaEntry[]>('config.relay')
const DIGEST = defineChannel<{ knownThrough: number, root: number, complete: boolean }>('config.digest')
const FULL_DIGEST = defineChannel<null, ReplicaDigest & { complete: boolean }>('config.fullDigest')
const BUCKETS = defineChannel<number[], BucketSummary[]>('config.buckets')
const ENTRIES = defineChannel<string[], ReplicaEntry[]>('config.entries')

const CALL_TIMEOUT_MS = 3_000
const WATCHERS_PER_REGION = 2
const ENTRIES_PER_CALL = 500
const PREFIX = 'config/'
// The time between listings grows with their size, so that they cost the same however many objects there are.
const RELIST_MS_PER_OBJECT = 20
const MIN_RELIST_MS = 10_000

export interface ConfigSyncOptions {
  clock: Clock
  random: RandomSource
  replica: ConfigReplica
  store: ObjectStore
  network: PeerNetwork
  view: MembershipView
  digestMs: number
}

/** Follows the configuration until the signal ends. */
export function startConfigSync (opts: ConfigSyncOptions, signal: AbortSignal): void {
  const { replica, network } = opts
  answerPeers(opts)
  const subscriptions = [
    // What comes before the replica is whole is known to the peers it came from.
    replica.arrivals.pipe(filter(() => replica.isComplete)).subscribe((entry) => network.broadcast(RELAY, [entry])),
    network.receive(RELAY).subscribe(({ body }) => body.forEach((entry) => replica.applyEntry(entry))),
    network.receive(DIGEST).subscribe(({ from, body }) => void repairFrom(opts, from, body)),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()))
  void keepWatching(opts, signal)
  void keepComparing(opts, signal)
}

function answerPeers (opts: ConfigSyncOptions): void {
  const { replica, network } = opts
  network.handleCalls(FULL_DIGEST, () => ({ ...replica.readDigest(), complete: replica.isComplete }))
  network.handleCalls(BUCKETS, (_, buckets) => buckets.map((bucket) => replica.listBucket(bucket)))
  network.handleCalls(ENTRIES, (_, keys) => replica.readEntries(keys.slice(0, ENTRIES_PER_CALL)))
}

/** Watches the object API while this instance is one of its region's watchers. */
async function keepWatching (opts: ConfigSyncOptions, signal: AbortSignal): Promise<void> {
  let subscription: Subscription | undefined
  signal.addEventListener('abort', () => subscription?.unsubscribe())
  while (!signal.aborted) {
    const wanted = isWatcher(opts)
    if (wanted && !subscription) subscription = followStore(opts)
    if (!wanted && subscription) {
      subscription.unsubscribe()
      subscription = undefined
    }
    await opts.clock.wait(opts.digestMs / 2, signal)
  }
}

function followStore (opts: ConfigSyncOptions): Subscription {
  const items = watchObjects({ ...opts, prefix: PREFIX, getRelistMs: () => getRelistMs(opts.replica) })
  return items.subscribe((item) => takeItem(opts.replica, item))
}

function isWatcher (opts: ConfigSyncOptions): boolean {
  const { view } = opts
  const sameRegion = view.listEligible().filter((member) => member.region === view.self.region)
  const watchers = listRanked(`watch/${view.self.region}`, sameRegion, (member) => member.instance).slice(0, WATCHERS_PER_REGION)
  return watchers.some((member) => member.instance === view.self.instance)
}

function getRelistMs (replica: ConfigReplica): number {
  return Math.max(MIN_RELIST_MS, replica.size * RELIST_MS_PER_OBJECT)
}

function takeItem (replica: ConfigReplica, item: WatchItem): void {
  if ('listing' in item) replica.applyListing(item.listing)
  else if ('batch' in item) replica.applyBatch(item.batch)
}

/** Tells one random neighbour at a time how far this replica is. */
async function keepComparing (opts: ConfigSyncOptions, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const linked = opts.network.listLinked()
    const { knownThrough, root } = opts.replica.readDigest()
    if (linked.length > 0) opts.network.send(opts.random.pickOne(linked), DIGEST, { knownThrough, root, complete: opts.replica.isComplete })
    // One that holds nothing yet asks at once, so that it can serve while the object API is down.
    if (!opts.replica.isComplete) await fillFirst(opts, linked)
    await opts.clock.wait(opts.replica.isComplete ? opts.digestMs : opts.digestMs / 8, signal)
  }
}

async function fillFirst (opts: ConfigSyncOptions, linked: readonly string[]): Promise<void> {
  await Promise.all(linked.map((peer) => pullFrom(opts, peer)))
  if (opts.replica.isComplete) return
  const listing = await opts.store.listObjects(PREFIX)
  if (listing.isOk()) opts.replica.applyListing(listing.value)
}

async function repairFrom (opts: ConfigSyncOptions, peer: string, theirs: { knownThrough: number, root: number, complete: boolean }): Promise<void> {
  const ours = opts.replica.readDigest()
  if (theirs.root !== ours.root || !opts.replica.isComplete) await pullFrom(opts, peer)
  else if (theirs.complete) opts.replica.advance(theirs.knownThrough)
}

/** Takes over what a peer has newer, bucket by bucket, and then what the peer knows to be all. */
async function pullFrom (opts: ConfigSyncOptions, peer: string): Promise<void> {
  const { replica, network } = opts
  const digest = await network.call(peer, FULL_DIGEST, null, CALL_TIMEOUT_MS)
  if (digest.isErr() || !digest.value.complete) return
  const different = listDifferentBuckets(replica.readDigest().buckets, digest.value.buckets)
  const summaries = await network.call(peer, BUCKETS, different, CALL_TIMEOUT_MS)
  if (summaries.isErr()) return
  const wanted = summaries.value.flatMap((summary) => replica.compareBucket(summary))
  const whole = await pullEntries(opts, peer, wanted)
  if (whole) replica.advance(digest.value.knownThrough)
}

async function pullEntries (opts: ConfigSyncOptions, peer: string, wanted: string[]): Promise<boolean> {
  for (let at = 0; at < wanted.length; at += ENTRIES_PER_CALL) {
    const keys = wanted.slice(at, at + ENTRIES_PER_CALL)
    const entries = await opts.network.call(peer, ENTRIES, keys, CALL_TIMEOUT_MS)
    if (entries.isErr()) return false
    for (const entry of entries.value) opts.replica.applyEntry(entry)
    if (entries.value.length < keys.length) return false
  }
  return true
}
