import { setMaxListeners } from 'node:events'
import type { ObjectStore } from '@pulleystack/backend.interfaces'
import type { RouteTable } from '@pulleystack/config.routes'
import { DEFAULT_POLICY, type Policy } from '@pulleystack/config.settings'
import { parseAddress } from '@pulleystack/core.addresses'
import { RandomSource, SystemClock, type Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'
import type { BackendQueue, RoutedGateway } from '@pulleystack/gateway.routed'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { WebSocketNetwork } from '@pulleystack/membership.peers'
import type { ResidencyService } from '@pulleystack/placement.residency'
import { BackendFleet, shareLoads } from '@pulleystack/routing.fleet'
import { DecisionKinds, WatchedDecisionLog, type DecisionLog } from '@pulleystack/timeline.decisions'
import { createForwarder, createGateway, createLimits, createQuarantine, createRelay } from './createGateway.js'
import { createMesh } from './createMesh.js'
import { createMetrics } from './createMetrics.js'
import { createResidency } from './createResidency.js'
import { DirectoryLog } from './DirectoryLog.js'
import type { EntryMetrics } from './EntryMetrics.js'
import type { EntryParts } from './EntryParts.js'
import type { EntrySettings } from './EntrySettings.js'
import type { EntryDependencies } from './EntrySources.js'
import { SharedTimeouts } from './SharedTimeouts.js'
import { startOrigins } from './startOrigins.js'
import { startQueue } from './startQueue.js'
import { startReservations } from './startReservations.js'
import { startStatusReceiver } from './startStatusReceiver.js'
import type { StopPlan } from './StopPlan.js'
import { watchSources, type SourceFeeds } from './watchSources.js'

const ROLE_CHECK_INTERVAL_MS = 100

export const EntryPhases = {
  /** Without configuration or servers, or on standby; relays requests to serving instances. */
  STARTING: 'starting',
  READY: 'ready',
  /** Serves requests, but tells clients to connect elsewhere. */
  LEAVING: 'leaving',
  /** Finishes active requests only. */
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
  directory: DirectoryLog
  readTable: () => RouteTable | undefined
  readPhase: () => EntryPhase
  /** Whether a new request would be served, here or by an instance that it is relayed to. */
  isReady: () => boolean
  setPhase: (phase: EntryPhase) => void
  /** Begins a planned stop. */
  leave: (plan: StopPlan) => void
  ended: AbortController
}

export interface StartOptions {
  log: DecisionLog
  policy?: Policy
  clock?: Clock | undefined
  random?: RandomSource
  /** Longest time that an order takes to reach a server, in milliseconds. */
  orderDelayMs?: number
}

interface EntryState {
  table: RouteTable | undefined
  phase: EntryPhase
  stopPlan: StopPlan | undefined
  feeds: SourceFeeds | undefined
}

/** Starts an entry instance without the listener for clients. */
export async function startEntry (settings: EntrySettings, deps: EntryDependencies, opts: StartOptions): Promise<Entry> {
  const { policy = DEFAULT_POLICY, clock = new SystemClock(), random = new RandomSource() } = opts
  const log = new WatchedDecisionLog(opts.log)
  const ended = new AbortController()
  // All tasks of the instance listen to this signal.
  setMaxListeners(0, ended.signal)
  const state: EntryState = { table: undefined, phase: EntryPhases.STARTING, stopPlan: undefined, feeds: undefined }
  const fleet = new BackendFleet()
  const readTable = (): RouteTable | undefined => state.table
  recordStoreRestores(deps.store, log, ended.signal)
  const { network, mesh } = createMesh({ settings, deps, clock, random, log })
  const parts = { settings, deps, clock, log, policy, fleet, network, mesh, readTable }
  const residency = createResidency({
    ...parts,
    orderDelayMs: opts.orderDelayMs,
    readStoreLostMs: () => state.feeds?.backends.outageMs ?? 0,
    readStoreAgeMs: () => state.feeds?.backends.ageMs ?? Infinity,
    onChange: () => queue.assignSlots(),
  })
  const forwarder = createForwarder({ ...parts, random })
  const origins = startOrigins(parts, ended.signal)
  const queue: BackendQueue = startQueue({ ...parts, random, residency, forwarder, origins }, ended.signal)
  const quarantine = createQuarantine(parts)
  const statements = startStatusReceiver({ ...parts, onLimitChange: () => queue.assignSlots() }, ended.signal)
  const metrics = createMetrics({ ...parts, queue, quarantine, forwarder, signal: ended.signal, listReplicas: () => Object.values(state.feeds ?? {}) })
  const isTableCurrent = (): boolean => (state.feeds?.config.ageMs ?? Infinity) <= settings.bounds.configLagMs
  const mayStart = (deadline: number): boolean => state.stopPlan?.mayStart(clock.readTime(), deadline) ?? true
  const mustClose = (): boolean => state.phase === EntryPhases.LEAVING || state.phase === EntryPhases.ENDING
  const relay = createRelay({ ...parts, random })
  const timeouts = new SharedTimeouts(parts)
  const isReady = (): boolean => state.phase === EntryPhases.READY || (state.phase === EntryPhases.STARTING && relay.isReady)
  const limits = createLimits(parts)
  const reservations = startReservations({ ...parts, metrics, onRoom: () => queue.assignSlots() }, ended.signal)
  const decisions = { ...parts, reservations, limits, forwarder, queue, relay, quarantine, statements, residency, metrics }
  const gateway = createGateway({ ...decisions, origins, random, timeouts, isTableCurrent, mayStart, mustClose }, ended.signal)
  const setPhase = (phase: EntryPhase): void => {
    state.phase = phase
    mesh.announce({ leaving: phase !== EntryPhases.READY })
  }
  const leave = (plan: StopPlan): void => {
    state.stopPlan = plan
    setPhase(EntryPhases.LEAVING)
  }
  mesh.self.peerAddress = `${parseAddress(settings.peerAddress).host}:${await network.start()}`
  mesh.start(ended.signal)
  timeouts.start(ended.signal)
  shareLoads({ clock, network, fleet, log, countRecipients: () => mesh.listServing().length, onChange: () => queue.assignSlots() }, ended.signal)
  residency.start(ended.signal)
  limits?.start(ended.signal)
  quarantine.start(ended.signal)
  const updatePhase = (): void => {
    if (state.phase === EntryPhases.STARTING && state.table !== undefined && fleet.listAll().length > 0) setPhase(EntryPhases.READY)
  }
  fleet.changes.subscribe(updatePhase)
  const applyTable = (table: RouteTable): void => {
    state.table = table
    timeouts.announce(table)
    updatePhase()
    queue.assignSlots()
  }
  runWhenChosen(clock, mesh, ended.signal, () => {
    state.feeds = startServing({ ...parts, random, ended, onTable: applyTable })
  })
  log.record(DecisionKinds.STARTED, { instance: settings.instance, dataHall: settings.dataHall, address: settings.clientAddress })
  return { ...parts, gateway, queue, residency, metrics, directory: new DirectoryLog(log, mesh), readPhase: () => state.phase, isReady, setPhase, leave, ended }
}

/** Logs each restore of the store from an older snapshot until the signal is aborted. */
function recordStoreRestores (store: ObjectStore, log: DecisionLog, signal: AbortSignal): void {
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

/** Announces that this instance serves and starts watching the store; returns the replicas of the store. */
function startServing (parts: ServingParts): SourceFeeds {
  const { settings, deps, clock, log, random, fleet, network, mesh, ended, onTable } = parts
  mesh.announce({ standby: false })
  return watchSources({
    clock,
    random,
    store: deps.store,
    network,
    instance: settings.instance,
    heartbeatMs: settings.serverHeartbeatMs,
    drainMs: settings.bounds.drainMs,
    listCandidates: () => [settings.instance, ...mesh.listServing().map((identity) => identity.instance)],
    sources: deps.sources,
    fleet,
    log,
    signal: ended.signal,
    onTable,
  })
}

/** Calls `serve` once this instance is chosen to serve. */
function runWhenChosen (clock: Clock, mesh: InstanceMesh, signal: AbortSignal, serve: () => void): void {
  const run = async (): Promise<void> => {
    if (await waitUntilChosen(clock, mesh, signal)) serve()
  }
  keepRunning({ task: 'wait for the role', clock, signal, run })
}

/** Resolves with true once this instance is chosen to serve, or with false if the signal is aborted first. */
async function waitUntilChosen (clock: Clock, mesh: InstanceMesh, signal: AbortSignal): Promise<boolean> {
  while (!signal.aborted) {
    if (mesh.isChosenToServe()) return true
    await clock.wait(ROLE_CHECK_INTERVAL_MS, signal)
  }
  return false
}
