import { watchObjects, type ObjectStore, type StoreChange, type StoredObject, type WatchItem } from '@pulleystack/backend.interfaces'
import { RouteTable } from '@pulleystack/config.routes'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { EntrySources } from './EntrySources.js'

// A watch whose connection is cut in silence is noticed after this and a second more, well inside what bounds allow.
const WAIT_MS = 1_200
const MAX_BACKOFF_MS = 400
const SETTLE_MS = 120
const RELIST_MS = 3_600_000

export interface WatchSourcesOptions {
  clock: Clock
  random: RandomSource
  store: ObjectStore
  sources: EntrySources
  fleet: BackendFleet
  log: DecisionLog
  /** A newer configuration is in force from now on. */
  onTable: (table: RouteTable) => void
  signal: AbortSignal
}

/** Follows the configuration and the backend servers in the store until the signal ends. */
export function watchSources (opts: WatchSourcesOptions): void {
  followConfig(opts)
  followBackends(opts)
}

function followConfig (opts: WatchSourcesOptions): void {
  let version = -Infinity
  const take = (object: StoredObject): void => {
    const config = opts.sources.readConfig(object)
    // Versions rise; an older one is a stale answer.
    if (!config || config.version <= version) return
    version = config.version
    opts.log.record(DecisionKinds.CONFIG_APPLIED, { version, revision: object.version, routes: config.routes.length })
    opts.onTable(new RouteTable(config))
  }
  follow(opts, opts.sources.configPrefix, (item) => {
    for (const object of listObjects(item)) take(object)
  })
}

function followBackends (opts: WatchSourcesOptions): void {
  const { fleet, log, sources } = opts
  const noteChange = fleet.changes.subscribe(({ kind, backend }) => {
    const { id, entry } = backend
    const facts = { backend: id, address: entry.address, draining: entry.draining, models: entry.models?.map((model) => model.name) }
    if (kind === 'added') log.record(DecisionKinds.BACKEND_ADDED, facts)
    else if (kind === 'removed') log.record(DecisionKinds.BACKEND_REMOVED, facts)
    else log.record(DecisionKinds.BACKEND_CHANGED, facts)
  })
  opts.signal.addEventListener('abort', () => noteChange.unsubscribe(), { once: true })
  follow(opts, sources.backendPrefix, (item) => {
    if ('listing' in item) {
      fleet.replaceAll(item.listing.objects.flatMap((object) => sources.readBackend(object) ?? []))
      return
    }
    for (const change of listChanges(item)) applyChange(opts, change)
  })
}

function applyChange (opts: WatchSourcesOptions, change: StoreChange): void {
  if (change.value === undefined) {
    opts.fleet.remove(change.key.slice(opts.sources.backendPrefix.length))
    return
  }
  const entry = opts.sources.readBackend(change)
  if (entry) opts.fleet.put(entry)
}

/** Follows one prefix and logs when the store is lost and regained. */
function follow (opts: WatchSourcesOptions, prefix: string, take: (item: WatchItem) => void): void {
  let isLost = false
  const items = watchObjects({
    store: opts.store,
    clock: opts.clock,
    random: opts.random,
    prefix,
    getRelistMs: () => RELIST_MS,
    waitMs: WAIT_MS,
    maxBackoffMs: MAX_BACKOFF_MS,
    settleMs: SETTLE_MS,
  })
  const subscription = items.subscribe((item) => {
    const failed = 'failed' in item
    if (failed !== isLost) opts.log.record(failed ? DecisionKinds.DEPENDENCY_LOST : DecisionKinds.DEPENDENCY_REGAINED, { dependency: 'store', prefix })
    isLost = failed
    take(item)
  })
  opts.signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
}

function listObjects (item: WatchItem): readonly StoredObject[] {
  return 'listing' in item ? item.listing.objects : listChanges(item)
}

function listChanges (item: WatchItem): readonly StoreChange[] {
  return 'batch' in item ? item.batch.changes : []
}
