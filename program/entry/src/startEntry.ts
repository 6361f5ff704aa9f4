import { randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import type { StoreFeed } from '@pulleystack/config.feed'
import type { RouteTable } from '@pulleystack/config.routes'
import { DEFAULT_POLICY, type Policy } from '@pulleystack/config.settings'
import { parseAddress } from '@pulleystack/core.addresses'
import { RandomSource, SystemClock, type Clock } from '@pulleystack/core.clock'
import { createLogger } from '@pulleystack/core.logging'
import { BackendQueue, RoutedGateway, StreamPace } from '@pulleystack/gateway.routed'
import { InstanceMesh } from '@pulleystack/membership.mesh'
import { WebSocketNetwork, type PeerIdentity } from '@pulleystack/membership.peers'
import { ShardLease } from '@pulleystack/placement.ledger'
import { OutageGrants, ResidencyHolder, ResidencyService } from '@pulleystack/placement.residency'
import { BackendFleet, shareLoads } from '@pulleystack/routing.fleet'
import { BackendAgent } from '@pulleystack/routing.forward'
import { WindowBudget } from '@pulleystack/routing.retries'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { EntryMetrics } from './EntryMetrics.js'
import type { EntrySettings } from './EntrySettings.js'
import type { EntryDependencies } from './EntrySources.js'
import type { StopPlan } from './StopPlan.js'
import { TimerDelay } from './TimerDelay.js'
import { watchSources, type SourceFeeds } from './watchSources.js'

const HEARTBEAT_MS = 1_000
const SUSPECT_AFTER_MS = 2_400
/** Time in which instances that start together find each other. */
const SETTLE_MS = 2_500
const ROLE_MS = 100
const SHARD = 'residency'

/** Where an instance stands between its start and its end. */
export const EntryPhases = {
  /** Knows no configuration or no servers yet, or stands by while others serve. */
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
  readTable: () => RouteTable | undefined
  readPhase: () => EntryPhase
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
  const clock = it.clock ?? new SystemClock()
  const random = it.random ?? new RandomSource()
  const { log, policy = DEFAULT_POLICY } = it
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
  const { network, mesh } = createMesh({ settings, deps, clock, random, log })
  const parts = { settings, deps, clock, log, policy, fleet, network, mesh, readTable }
  const residency = createResidency({
    ...parts,
    orderDelayMs: it.orderDelayMs,
    readStoreLostMs: () => state.feeds?.backends.lostMs ?? 0,
    readStoreAgeMs: () => state.feeds?.backends.ageMs ?? Infinity,
    onChange: () => queue.pump(),
  })
  const queue: BackendQueue = new BackendQueue({ clock, random, fleet, residency, log, dataHall: settings.dataHall, policy })
  const listCopies = (): StoreFeed[] => state.feeds ? Object.values(state.feeds) : []
  const metrics = createMetrics({ ...parts, signal: ended.signal, readWaiting: () => queue.size, listCopies })
  const isTableCurrent = (): boolean => (state.feeds?.config.ageMs ?? Infinity) <= settings.bounds.configLagMs
  const mayBegin = (deadline: number): boolean => state.stopPlan?.mayBegin(clock.readTime(), deadline) ?? true
  const mustClose = (): boolean => state.phase === EntryPhases.LEAVING || state.phase === EntryPhases.ENDING
  const gateway = createGateway({ ...parts, random, queue, residency, metrics, isTableCurrent, mayBegin, mustClose })
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
  shareLoads({ clock, network, fleet, countReaders: () => mesh.listServing().length, onChange: () => queue.pump() }, ended.signal)
  residency.start(ended.signal)
  const noteReady = (): void => {
    if (state.phase === EntryPhases.STARTING && state.table !== undefined && fleet.listAll().length > 0) setPhase(EntryPhases.READY)
  }
  fleet.changes.subscribe(noteReady)
  const takeTable = (table: RouteTable): void => {
    state.table = table
    noteReady()
    queue.pump()
  }
  void waitUntilChosen(clock, mesh, ended.signal).then((isChosen) => {
    if (isChosen) state.feeds = beginServing({ ...parts, random, ended, onTable: takeTable })
  })
  log.record(DecisionKinds.STARTED, { instance: settings.instance, dataHall: settings.dataHall, address: settings.clientAddress })
  return { settings, clock, log, gateway, queue, mesh, network, residency, metrics, fleet, readTable, readPhase: () => state.phase, setPhase, leave, ended }
}

interface ServingParts extends Parts {
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
    if (mesh.isChosen()) return true
    await clock.wait(ROLE_MS, signal)
  }
  return false
}

interface Parts {
  settings: EntrySettings
  deps: EntryDependencies
  clock: Clock
  log: DecisionLog
}

function createMesh (parts: Parts & { random: RandomSource }): { network: WebSocketNetwork, mesh: InstanceMesh } {
  const { settings, deps, clock, random, log } = parts
  const self: PeerIdentity = {
    instance: settings.instance,
    // Wall time makes a restarted instance outrank what is still told about its former life.
    incarnation: Math.floor(clock.readWallTime()),
    address: settings.clientAddress,
    peerAddress: settings.peerAddress,
    region: settings.region,
    dataHall: settings.dataHall,
    leaving: true,
    standby: true,
    capacity: settings.cores,
  }
  const { host, port } = parseAddress(settings.peerAddress)
  const network = new WebSocketNetwork({
    clock,
    random,
    logger: createLogger({ name: settings.instance, level: 'error' }),
    host,
    port,
    readIdentity: () => self,
    findAddress: (instance) => mesh.findAddress(instance),
    heartbeatMs: HEARTBEAT_MS,
    suspectAfterMs: SUSPECT_AFTER_MS,
    privateNetwork: true,
    onUnsent: (report) => log.record(DecisionKinds.FRAMES_NOT_SENT, report),
  })
  const settleMs = settings.isFirstStart ? SETTLE_MS : 0
  const mesh: InstanceMesh = new InstanceMesh({ clock, store: deps.store, network, log, self, seeds: settings.seeds, settleMs })
  return { network, mesh }
}

interface ResidencyParts extends Parts {
  policy: Policy
  fleet: BackendFleet
  network: WebSocketNetwork
  mesh: InstanceMesh
  orderDelayMs: number | undefined
  readTable: () => RouteTable | undefined
  readStoreLostMs: () => number
  readStoreAgeMs: () => number
  onChange: () => void
}

function createResidency (parts: ResidencyParts): ResidencyService {
  const { settings, deps, clock, log, fleet, network, mesh } = parts
  const life = `${settings.instance}@${mesh.self.incarnation}`
  // A successor's first order must come a whole bound after the last one of its predecessor, who orders until
  // (life - delay) after a renewal; the successor waits for life + 2 delays, so that a third of the bound each is enough.
  const delayMs = parts.orderDelayMs ?? settings.bounds.leaseMs / 3
  const leaseMs = settings.bounds.leaseMs * 2 / 3
  const lease = new ShardLease({
    clock,
    store: deps.store,
    shard: SHARD,
    holder: life,
    leaseMs,
    orderDelayMs: delayMs,
    createOperation: randomUUID,
  })
  const holder = new ResidencyHolder({
    clock,
    fleet,
    weights: deps.weights,
    log,
    policy: parts.policy,
    readTable: parts.readTable,
    readRight: () => residency.mayOrder ? { holder: settings.instance, fence: lease.fence } : undefined,
    onChange: (change) => residency.spreadWeights(change),
  })
  const { policy, readStoreLostMs, readStoreAgeMs } = parts
  const grants = new OutageGrants({
    clock,
    network,
    listOthers: () => mesh.listOthers(),
    readStoreLostMs,
    readStoreAgeMs,
    turnMs: settings.bounds.leaseMs,
    isEnabled: policy.ordersInOutage,
  })
  const residency: ResidencyService = new ResidencyService({
    clock,
    network,
    fleet,
    log,
    instance: settings.instance,
    lease,
    leaseMs,
    life,
    turnMs: settings.bounds.leaseMs,
    holder,
    grants,
    listCandidates: () => [mesh.self, ...mesh.listServing()]
      .filter((identity) => !identity.leaving)
      .map(({ instance, capacity = 1 }) => ({ instance, capacity })),
    onChange: parts.onChange,
  })
  return residency
}

interface MetricsParts extends Parts {
  fleet: BackendFleet
  mesh: InstanceMesh
  network: WebSocketNetwork
  readTable: () => RouteTable | undefined
  readWaiting: () => number
  listCopies: () => readonly StoreFeed[]
  signal: AbortSignal
}

function createMetrics (parts: MetricsParts): EntryMetrics {
  const { clock, fleet, mesh, network, readTable, readWaiting, listCopies, signal } = parts
  const timerDelay = new TimerDelay(clock)
  timerDelay.start(signal)
  return new EntryMetrics({
    fleet,
    mesh,
    network,
    readConfigVersion: () => readTable()?.config.version ?? 0,
    readWaiting,
    listCopies,
    readTimerDelayMs: () => timerDelay.longestMs,
  })
}

interface GatewayParts extends Parts {
  random: RandomSource
  fleet: BackendFleet
  mesh: InstanceMesh
  queue: BackendQueue
  residency: ResidencyService
  metrics: EntryMetrics
  readTable: () => RouteTable | undefined
  isTableCurrent: () => boolean
  mayBegin: (deadline: number) => boolean
  mustClose: () => boolean
}

function createGateway (parts: GatewayParts): RoutedGateway {
  const { settings, deps, clock, random, log, queue, fleet, residency, metrics, readTable, isTableCurrent, mayBegin, mustClose } = parts
  return new RoutedGateway({
    clock,
    random,
    log,
    agent: new BackendAgent(clock),
    protocol: deps.protocol,
    queue,
    fleet,
    pace: new StreamPace(clock),
    residency,
    findBudget: createBudgets(settings, clock, parts.mesh),
    readTable,
    isTableCurrent,
    mayBegin,
    mustClose,
    onOutcome: (outcome) => metrics.countOutcome(outcome),
  })
}

function createBudgets (settings: EntrySettings, clock: Clock, mesh: InstanceMesh): (service: string) => WindowBudget {
  const budgets = new Map<string, WindowBudget>()
  const { retryRatio, retryExtra, retryWindowMs } = settings.bounds
  return (service) => {
    const present = budgets.get(service)
    if (present) return present
    const countInstances = (): number => mesh.countServed()
    const created = new WindowBudget({ clock, ratio: retryRatio, extra: retryExtra, windowMs: retryWindowMs, countInstances })
    budgets.set(service, created)
    return created
  }
}
