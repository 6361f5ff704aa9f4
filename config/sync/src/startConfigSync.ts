import { listDifferentBuckets, type BucketSummary, type ConfigReplica, type ReplicaDigest, type ReplicaEntry } from '@pulleystack/config.replica'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { rankMembers } from '@pulleystack/core.hashing'
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
// The interval between listings grows with their size, which limits their cost.
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

/** Keeps the replica up to date until the signal aborts. */
export function startConfigSync (opts: ConfigSyncOptions, signal: AbortSignal): void {
  const { replica, network } = opts
  answerPeers(opts)
  const subscriptions = [
    // Entries that arrive before the replica is complete come from peers and need no relay.
    replica.arrivals.pipe(filter(() => replica.isComplete)).subscribe((entry) => network.broadcast(RELAY, [entry])),
    network.receive(RELAY).subscribe(({ body }) => body.forEach((entry) => replica.applyEntry(entry))),
    network.receive(DIGEST).subscribe(({ from, body }) => void handleDigest(opts, from, body)),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()))
  void runWatcher(opts, signal)
  void sendDigests(opts, signal)
}

function answerPeers (opts: ConfigSyncOptions): void {
  const { replica, network } = opts
  network.handleCalls(FULL_DIGEST, () => ({ ...replica.readDigest(), complete: replica.isComplete }))
  network.handleCalls(BUCKETS, (_, buckets) => buckets.map((bucket) => replica.listBucket(bucket)))
  network.handleCalls(ENTRIES, (_, keys) => replica.readEntries(keys.slice(0, ENTRIES_PER_CALL)))
}

/** Watches the store while this instance is one of its region's watchers. */
async function runWatcher (opts: ConfigSyncOptions, signal: AbortSignal): Promise<void> {
  let subscription: Subscription | undefined
  signal.addEventListener('abort', () => subscription?.unsubscribe())
  while (!signal.aborted) {
    const shouldWatch = isWatcher(opts)
    if (shouldWatch && !subscription) subscription = watchStore(opts)
    if (!shouldWatch && subscription) {
      subscription.unsubscribe()
      subscription = undefined
    }
    await opts.clock.wait(opts.digestMs / 2, signal)
  }
}

function watchStore (opts: ConfigSyncOptions): Subscription {
  const items = watchObjects({ ...opts, prefix: PREFIX, getRelistIntervalMs: () => computeRelistMs(opts.replica) })
  return items.subscribe((item) => applyItem(opts.replica, item))
}

function isWatcher (opts: ConfigSyncOptions): boolean {
  const { view } = opts
  const sameRegion = view.listEligible().filter((member) => member.region === view.self.region)
  const watchers = rankMembers(`watch/${view.self.region}`, sameRegion, (member) => member.instance).slice(0, WATCHERS_PER_REGION)
  return watchers.some((member) => member.instance === view.self.instance)
}

function computeRelistMs (replica: ConfigReplica): number {
  return Math.max(MIN_RELIST_MS, replica.size * RELIST_MS_PER_OBJECT)
}

function applyItem (replica: ConfigReplica, item: WatchItem): void {
  if ('listing' in item) replica.applyListing(item.listing)
  else if ('batch' in item) replica.applyBatch(item.batch)
}

/** Sends the replica's digest to one random peer at each interval. */
async function sendDigests (opts: ConfigSyncOptions, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const linked = opts.network.listLinked()
    const { knownThrough, root } = opts.replica.readDigest()
    if (linked.length > 0) opts.network.send(opts.random.pickOne(linked), DIGEST, { knownThrough, root, complete: opts.replica.isComplete })
    // An incomplete replica pulls from all peers at once, so that the instance can start while the store is down.
    if (!opts.replica.isComplete) await loadInitial(opts, linked)
    await opts.clock.wait(opts.replica.isComplete ? opts.digestMs : opts.digestMs / 8, signal)
  }
}

async function loadInitial (opts: ConfigSyncOptions, linked: readonly string[]): Promise<void> {
  await Promise.all(linked.map((peer) => pullFrom(opts, peer)))
  if (opts.replica.isComplete) return
  const listing = await opts.store.listObjects(PREFIX)
  if (listing.isOk()) opts.replica.applyListing(listing.value)
}

async function handleDigest (opts: ConfigSyncOptions, peer: string, peerDigest: { knownThrough: number, root: number, complete: boolean }): Promise<void> {
  const ownDigest = opts.replica.readDigest()
  if (peerDigest.root !== ownDigest.root || !opts.replica.isComplete) await pullFrom(opts, peer)
  else if (peerDigest.complete) opts.replica.advance(peerDigest.knownThrough)
}

/** Pulls a peer's newer entries from the buckets that differ, then advances to the peer's known version if all were received. */
async function pullFrom (opts: ConfigSyncOptions, peer: string): Promise<void> {
  const { replica, network } = opts
  const digest = await network.call(peer, FULL_DIGEST, null, CALL_TIMEOUT_MS)
  if (digest.isErr() || !digest.value.complete) return
  const different = listDifferentBuckets(replica.readDigest().buckets, digest.value.buckets)
  const summaries = await network.call(peer, BUCKETS, different, CALL_TIMEOUT_MS)
  if (summaries.isErr()) return
  const newerKeys = summaries.value.flatMap((summary) => replica.compareBucket(summary))
  const hasAllEntries = await pullEntries(opts, peer, newerKeys)
  if (hasAllEntries) replica.advance(digest.value.knownThrough)
}

async function pullEntries (opts: ConfigSyncOptions, peer: string, keysToPull: string[]): Promise<boolean> {
  for (let at = 0; at < keysToPull.length; at += ENTRIES_PER_CALL) {
    const keys = keysToPull.slice(at, at + ENTRIES_PER_CALL)
    const entries = await opts.network.call(peer, ENTRIES, keys, CALL_TIMEOUT_MS)
    if (entries.isErr()) return false
    for (const entry of entries.value) opts.replica.applyEntry(entry)
    if (entries.value.length < keys.length) return false
  }
  return true
}
