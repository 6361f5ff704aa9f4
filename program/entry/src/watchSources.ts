import { readRevision, type ObjectStore, type StoredObject } from '@pulleystack/backend.interfaces'
import { StalenessMonitor, StoreFeed, type StoreFeedOptions } from '@pulleystack/config.feed'
import { RouteTable } from '@pulleystack/config.routes'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { BackendDirectory, shareStaleServers, type BackendFleet } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { EntrySources } from './EntrySources.js'
import { UnreadableEntries } from './UnreadableEntries.js'

/** An entry expires after three missed heartbeats, two of which may fall into an outage that is this long. */
const HEARTBEATS_TO_EXPIRY = 2

export interface WatchSourcesOptions {
  clock: Clock
  random: RandomSource
  store: ObjectStore
  network: PeerNetwork
  instance: string
  /** Milliseconds between two heartbeats of a backend server. */
  heartbeatMs: number
  /** How long a server that stops as planned still serves after its entry is removed, in milliseconds. */
  drainMs: number
  /** Live instances that could watch the store, including this one. */
  listCandidates: () => readonly string[]
  sources: EntrySources
  fleet: BackendFleet
  log: DecisionLog
  /** Called with each newer configuration. */
  onTable: (table: RouteTable) => void
  signal: AbortSignal
}

/** Replicas of the store's objects. */
export interface SourceFeeds {
  config: StoreFeed
  backends: StoreFeed
}

/** Watches the configuration and the backend servers in the store until the signal is aborted. */
export function watchSources (opts: WatchSourcesOptions): SourceFeeds {
  return { config: watchConfig(opts), backends: watchBackends(opts) }
}

function watchConfig (opts: WatchSourcesOptions): StoreFeed {
  let version = -Infinity
  const take = (object: StoredObject): void => {
    const config = opts.sources.readConfig(object)
    // Versions only increase, so an older one is a stale response.
    if (!config || config.version <= version) return
    version = config.version
    opts.log.record(DecisionKinds.CONFIG_APPLIED, { version, revision: readRevision(object.version), routes: config.routes.length })
    opts.onTable(new RouteTable(config))
  }
  const { configPrefix } = opts.sources
  return startFeed(opts, configPrefix, { onListing: (objects) => objects.forEach(take), onChanges: (changes) => changes.forEach(take) })
}

function watchBackends (opts: WatchSourcesOptions): StoreFeed {
  const { fleet, log, sources } = opts
  const changeSubscription = fleet.changes.subscribe(({ kind, backend }) => {
    const { id, entry } = backend
    const facts = { backend: id, address: entry.address, draining: entry.draining, models: entry.models?.map((model) => model.name) }
    if (kind === 'added') log.record(DecisionKinds.BACKEND_ADDED, facts)
    else if (kind === 'removed') log.record(DecisionKinds.BACKEND_REMOVED, facts)
    else log.record(DecisionKinds.BACKEND_CHANGED, facts)
  })
  opts.signal.addEventListener('abort', () => changeSubscription.unsubscribe(), { once: true })
  const unreadable = new UnreadableEntries(opts.clock, log)
  const directory = new BackendDirectory({ clock: opts.clock, fleet, readMsSinceRecovery: () => feed.msSinceRecovery, drainMs: opts.drainMs })
  const announceRevived = shareStaleServers({ network: opts.network, directory }, opts.signal)
  const take = (object: StoredObject): void => {
    const entry = sources.readBackend(object)
    if (entry) {
      directory.put(entry, object.version)
      return
    }
    directory.removeUnreadable(readName(sources.backendPrefix, object))
    unreadable.note({ key: object.key, revision: readRevision(object.version) })
  }
  const feed: StoreFeed = startFeed(opts, sources.backendPrefix, {
    onListing: (objects, { version, isRestored }) => {
      if (isRestored) directory.handleRestore(version)
      objects.forEach(take)
      directory.removeAllExcept(new Set(objects.map((object) => readName(sources.backendPrefix, object))))
      if (isRestored) announceRevived()
    },
    onChanges: (changes) => changes.forEach((change) => {
      if (change.value === undefined) directory.remove(readName(sources.backendPrefix, change))
      else take(change)
    }),
  })
  return feed
}

function readName (prefix: string, object: { key: string }): string {
  return object.key.slice(prefix.length)
}

function startFeed (opts: WatchSourcesOptions, prefix: string, listeners: Pick<StoreFeedOptions, 'onListing' | 'onChanges'>): StoreFeed {
  const { clock, random, store, network, log, instance, listCandidates } = opts
  const minExpiryMs = opts.heartbeatMs * HEARTBEATS_TO_EXPIRY
  const feed = new StoreFeed({ clock, random, store, network, log, prefix, instance, minExpiryMs, listCandidates, ...listeners })
  feed.start(opts.signal)
  new StalenessMonitor({ clock, log, feed, prefix }).start(opts.signal)
  return feed
}
