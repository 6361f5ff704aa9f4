import { setMaxListeners } from 'node:events'
import type { ObjectStore } from '@pulleystack/backend.interfaces'
import type { StoreFeed } from '@pulleystack/config.feed'
import type { RouteTable } from '@pulleystack/config.routes'
import { DEFAULT_POLICY, type Policy } from '@pulleystack/config.settings'
import { parseAddress } from '@pulleystack/core.addresses'
import { RandomSource, SystemClock, type Clock } from '@pulleystack/core.clock'
import type { BackendQueue, RoutedGateway } from '@pulleystack/gateway.routed'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { WebSocketNetwork } from '@pulleystack/membership.peers'
import type { ResidencyService } from '@pulleystack/placement.residency'
import { BackendFleet, shareLoads } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { createGateway, createLimits, createQuarantine, createRelay } from './createGateway.js'
import { createMesh } from './createMesh.js'
import { createMetrics } from './createMetrics.js'
import { createResidency } from './createResidency.js'
import type { EntryMetrics } from './EntryMetrics.js'
import type { EntryParts } from './EntryParts.js'
import type { EntrySettings } from './EntrySettings.js'
import type { EntryDependencies } from './EntrySources.js'
import { NamedInstances } from './NamedInstances.js'
import { startQueue } from './startQueue.js'
import { startStatements } from './startStatements.js'
import type { StopPlan } from './StopPlan.js'
import { watchSources, type SourceFeeds } from './watchSources.js'

/** An instance looks so often whether it is one of those that serve. */
const ROLE_MS = 100

/** Where an instance stands between its start and its end. */
export const EntryPhases = {
  /** Knows no configuration or no servers yet, or stands by while others serve; hands requests on to those. */
  STARTING: 'starting',
  READY: 'ready',
  /** Serves what comes, but clients are told to go elsewhere. */
  LEAVING: 'leaving',
  /** Only finishes what it has in hand. */
  ENDING: 'ending',
} as const
export type EntryPhase = typeof EntryPhases[keyof typeof EntryPhases]

/** One running entry instance for routed requests. */
export interface Entry {
  settings: EntrySettings
  clock: Clock
  log: DecisionLog
  gateway: RoutedGateway
  queue: BackendQueue
  mesh: InstanceMesh
  network: WebSocketNetwork
  residency: ResidencyService
  metrics: EntryMetrics
  fleet: BackendFleet
  /** Whom the directory named last. */
  named: NamedInstances
  readTable: () => RouteTable | undefined
  readPhase: () => EntryPhase
  /** Whether a request that comes now would be served, here or by an instance that it is handed on to. */
  isReady: () => boolean
  setPhase: (phase: EntryPhase) => void
  /** Begins a planned stop. */
  leave: (plan: StopPlan) => void
  ended: AbortController
}

/** What a start takes beside settings and dependencies; tests choose more of it. */
export interface StartOptions {
  log: DecisionLog
  policy?: Policy
  clock?: Clock | undefined
  random?: RandomSource
  /** Longest time that an order takes to reach a server. */
  orderDelayMs?: number
}

/** Starts everything but the listeners for clients. */
export async function startEntry (
  settings: EntrySettings,
  deps: EntryDependencies,
  it: StartOptions,
): Promise<Entry> {
  const { log, policy = DEFAULT_POLICY, clock = new SystemClock(), random = new RandomSource() } = it
  const ended = new AbortController()
  // Every task of the instance waits for this signal.
  setMaxListeners(0, ended.signal)
  const state: { table: RouteTable | undefined, phase: EntryPhase, stopPlan: StopPlan | undefined, feeds: SourceFeeds | undefined } = {
    table: undefined,
    phase: EntryPhases.STARTING,
    stopPlan: undefined,
    feeds: undefined,
  }
  const fleet = new BackendFleet()
  const readTable = (): RouteTable | undefined => state.table
  recordRestored(deps.store, log, ended.signal)
  const { network, mesh } = createMesh({ settings, deps, clock, random, log })
  const parts = { settings, deps, clock, log, policy, fleet, network, mesh, readTable }
  const residency = createResidency({
    ...parts,
    orderDelayMs: it.orderDelayMs,
    readStoreLostMs: () => state.feeds?.backends.outageMs ?? 0,
    readStoreAgeMs: () => state.feeds?.backends.ageMs ?? Infinity,
    onChange: () => queue.assignSlots(),
  })
  const queue: BackendQueue = startQueue({ ...parts, random, residency }, ended.signal)
  const quarantine = createQuarantine(parts)
  const statements = startStatements({ ...parts, onLimit: () => queue.assignSlots() }, ended.signal)
  const listCopies = (): StoreFeed[] => state.feeds ? Object.values(state.feeds) : []
  const metrics = createMetrics({ ...parts, signal: ended.signal, readWaiting: () => queue.size, readSuspects: () => quarantine.size, listCopies })
  const isTableCurrent = (): boolean => (state.feeds?.config.ageMs ?? Infinity) <= settings.bounds.configLagMs
  const mayStart = (deadline: number): boolean => state.stopPlan?.mayStart(clock.readTime(), deadline) ?? true
  const mustClose = (): boolean => state.phase === EntryPhases.LEAVING || state.phase === EntryPhases.ENDING
  const relay = createRelay(parts)
  const limits = createLimits(parts)
  const isReady = (): boolean => state.phase === EntryPhases.READY || (state.phase === EntryPhases.STARTING && relay.isReady)
  const gateway = createGateway({ ...parts, random, queue, relay, limits, quarantine, statements, residency, metrics, isTableCurrent, mayStart, mustClose })
  const setPhase = (phase: EntryPhase): void => {
    state.phase = phase
    mesh.announce({ leaving: phase !== EntryPhases.READY })
  }
  const leave = (plan: StopPlan): void => {
    state.stopPlan = plan
    setPhase(EntryPhases.LEAVING)
  }
  const peerPort = await network.start()
  mesh.self.peerAddress = `${parseAddress(settings.peerAddress).host}:${peerPort}`
  mesh.start(ended.signal)
  shareLoads({ clock, network, fleet, countRecipients: () => mesh.listServing().length, onChange: () => queue.assignSlots() }, ended.signal)
  residency.start(ended.signal)
  limits?.start(ended.signal)
  quarantine.start(ended.signal)
  const noteReady = (): void => {
    if (state.phase === EntryPhases.STARTING && state.table !== undefined && fleet.listAll().length > 0) setPhase(EntryPhases.READY)
  }
  fleet.changes.subscribe(noteReady)
  const takeTable = (table: RouteTable): void => {
    state.table = table
    noteReady()
    queue.assignSlots()
  }
  void waitUntilChosen(clock, mesh, ended.signal).then((isChosen) => {
    if (isChosen) state.feeds = beginServing({ ...parts, random, ended, onTable: takeTable })
  })
  log.record(DecisionKinds.STARTED, { instance: settings.instance, dataHall: settings.dataHall, address: settings.clientAddress })
  return { ...parts, gateway, queue, residency, metrics, named: new NamedInstances(log, mesh), readPhase: () => state.phase, isReady, setPhase, leave, ended }
}

/** Logs each time that the store came back from an older copy, until the signal ends. */
function recordRestored (store: ObjectStore, log: DecisionLog, signal: AbortSignal): void {
  const subscription = store.epochs.changes.subscribe(({ epoch, previous }) => {
    if (previous !== undefined) log.record(DecisionKinds.STORE_RESTORED, { epoch, former: previous })
  })
  signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
}

interface ServingParts extends EntryParts {
  random: RandomSource
  fleet: BackendFleet
  network: WebSocketNetwork
  mesh: InstanceMesh
  ended: AbortController
  onTable: (table: RouteTable) => void
}

/** Follows the store and tells the others that this instance serves; gives the copies that it keeps from then on. */
function beginServing (parts: ServingParts): SourceFeeds {
  const { settings, deps, clock, log, random, fleet, network, mesh, ended, onTable } = parts
  mesh.announce({ standby: false })
  return watchSources({
    clock,
    random,
    store: deps.store,
    network,
    instance: settings.instance,
    listCandidates: () => [settings.instance, ...mesh.listServing().map((identity) => identity.instance)],
    sources: deps.sources,
    fleet,
    log,
    signal: ended.signal,
    onTable,
  })
}

/** Resolves with true once this instance is one of those that serve; with false when the signal ends before. */
async function waitUntilChosen (clock: Clock, mesh: InstanceMesh, signal: AbortSignal): Promise<boolean> {
  while (!signal.aborted) {
    if (mesh.isChosenToServe()) return true
    await clock.wait(ROLE_MS, signal)
  }
  return false
}
