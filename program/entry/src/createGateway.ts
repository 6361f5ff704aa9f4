import type { RouteTable } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import type { RandomSource } from '@pulleystack/core.clock'
import { HeldBytes } from '@pulleystack/gateway.http'
import { InstanceRelay, PeerForwarder, QuotaGate, RelayPeers, ReservedSlots, ResponseTimes, RoutedGateway, StreamFlusher, SuspectGate, type BackendQueue, type ForwardTarget } from '@pulleystack/gateway.routed'
import { isServing, type InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { ResidencyService } from '@pulleystack/placement.residency'
import type { BackendFleet, ServerReports } from '@pulleystack/routing.fleet'
import { BackendAgent } from '@pulleystack/routing.forward'
import { CountedLimits, PooledLimits, type TeamLimits } from '@pulleystack/routing.limits'
import { ExclusiveRunRule, Quarantine } from '@pulleystack/routing.quarantine'
import type { StreamOrigins } from '@pulleystack/routing.origins'
import type { Reservations } from '@pulleystack/routing.reservations'
import { RetryBudgets } from '@pulleystack/routing.retries'
import { computeOwnSlots } from './computeOwnSlots.js'
import { describeMembership, listServing } from './describeMembership.js'
import type { EntryMetrics } from './EntryMetrics.js'
import type { EntryParts } from './EntryParts.js'
import { listForHall } from './listForHall.js'
import type { SharedTimeouts } from './SharedTimeouts.js'
import { startPaths } from './startPaths.js'

/** Dependencies of the gateway for routed requests. */
export interface GatewayParts extends EntryParts {
  random: RandomSource
  fleet: BackendFleet
  mesh: InstanceMesh
  network: PeerNetwork
  policy: Policy
  queue: BackendQueue
  reservations: Reservations
  residency: ResidencyService
  origins: StreamOrigins
  relay: InstanceRelay
  forwarder: PeerForwarder
  timeouts: Pick<SharedTimeouts, 'find'>
  limits: TeamLimits | undefined
  quarantine: Quarantine
  statements: ServerReports
  metrics: EntryMetrics
  readTable: () => RouteTable | undefined
  isTableCurrent: () => boolean
  mayStart: (deadline: number) => boolean
  mustClose: () => boolean
}

/** Dependencies of the forwarder. */
type ForwarderParts = Pick<GatewayParts, 'settings' | 'deps' | 'clock' | 'random' | 'mesh' | 'fleet' | 'readTable'>

/** Dependencies of the team quotas. */
type LimitsParts = Pick<GatewayParts, 'settings' | 'clock' | 'mesh' | 'network' | 'readTable' | 'policy'>

/** Creates the gateway for routed requests, with a retry budget per service; paths to backend servers are probed until the signal is aborted. */
export function createGateway (parts: GatewayParts, signal: AbortSignal): RoutedGateway {
  const { settings, deps, clock, random, log, policy, mesh, network, timeouts } = parts
  const { limits, quarantine, queue, reservations, fleet, statements, residency, origins, metrics } = parts
  const { readTable, isTableCurrent, mayStart, mustClose } = parts
  const { protocol } = deps
  const { agent, paths } = startPaths({ ...parts, onRestored: () => queue.assignSlots() }, signal)
  const budgets = createBudgets(parts)
  return new RoutedGateway({
    clock,
    random,
    log,
    agent,
    paths,
    suspects: new SuspectGate({ clock, log, fleet, quarantine, paths }),
    protocol,
    held: new HeldBytes({ maxBytes: settings.limits.heldBytes, readTime: () => clock.readTime() }),
    relay: parts.relay,
    forwarder: parts.forwarder,
    forwardKey: mesh.self.forwardKey,
    convertPeerTime: (instance, time) => network.convertTime(instance, time),
    findTimeout: (host, path) => timeouts.find(host, path) ?? readTable()?.findRoute(host, path)?.timeoutMs,
    queue,
    slots: new ReservedSlots({
      clock,
      queue,
      reservations,
      policy,
      computeOwnSlots: (server, slots) => computeOwnSlots(settings.instance, listServing(mesh), server, slots),
      instance: `${settings.instance}@${mesh.self.incarnation}`,
    }),
    fleet,
    origins,
    reports: statements,
    flusher: new StreamFlusher(clock),
    responseTimes: new ResponseTimes(),
    residency,
    findBudget: (service) => budgets.find(service),
    quotas: limits && new QuotaGate({ log, limits, onUnits: (team, outcome, units) => metrics.countUnits(team, outcome, units) }),
    countRequest: (service) => budgets.recordRequest(service),
    readTable,
    isTableCurrent,
    mayStart,
    mustClose,
    onOutcome: (outcome) => metrics.countOutcome(outcome),
  })
}

/** Creates the relay of requests to serving instances. */
export function createRelay ({ settings, deps, clock, random, log, mesh }: EntryParts & { random: RandomSource, mesh: InstanceMesh }): InstanceRelay {
  const peers = new RelayPeers({ clock, random, listTargets: () => listForHall(mesh.listLinked().filter(isServing), settings.dataHall) })
  return new InstanceRelay({ clock, instance: settings.instance, agent: new BackendAgent(clock), protocol: deps.protocol, log, peers })
}

/** Creates the forwarder of requests to instances that reach servers which this one doesn't. */
export function createForwarder ({ settings, deps, clock, random, mesh, fleet, readTable }: ForwarderParts): PeerForwarder {
  const listTargets = (): ForwardTarget[] => mesh.listLinked().filter(isServing)
  const readConfigVersion = (): number => readTable()?.config.version ?? 0
  return new PeerForwarder({
    clock,
    random,
    instance: settings.instance,
    agent: new BackendAgent(clock),
    protocol: deps.protocol,
    contacts: fleet.contacts,
    listTargets,
    readConfigVersion,
  })
}

/** Creates the team quotas shared by all instances; undefined if quotas are not enforced. */
export function createLimits ({ settings, clock, policy, mesh, network, readTable }: LimitsParts): TeamLimits | undefined {
  const bounds = settings.bounds.quota
  if (!bounds) return undefined
  if (!policy.pooledQuotas) return new CountedLimits({ clock, network, readTable })
  return new PooledLimits({ clock, network, membership: describeMembership(mesh), readTable, bounds })
}

/** Creates the quarantine for requests during which servers crashed, shared by all instances. */
export function createQuarantine ({ settings, deps, clock, log, mesh, network }: Pick<GatewayParts, 'settings' | 'deps' | 'clock' | 'log' | 'mesh' | 'network'>): Quarantine {
  const membership = { instance: settings.instance, listServing: () => listServing(mesh) }
  return new Quarantine({ clock, network, membership, log, rule: new ExclusiveRunRule(), store: deps.store })
}

function createBudgets ({ settings, clock, mesh, network }: GatewayParts): RetryBudgets {
  const { retryRatio, retryAllowance, retryWindowMs } = settings.bounds
  const membership = {
    countInstances: () => mesh.countServingSeen(),
    readServingMs: () => mesh.processRun.readServingMs(),
    readRunMs: () => mesh.processRun.readRunMs(),
    listPeers: () => mesh.listServing().map((identity) => identity.instance),
  }
  return new RetryBudgets({ clock, network, membership, ratio: retryRatio, fixedAllowance: retryAllowance, windowMs: retryWindowMs })
}
