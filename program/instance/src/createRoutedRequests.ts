import type http from 'node:http'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { DefaultRoutedProtocol, assignAttempt } from '@pulleystack/backend.http'
import { Kinds, type ConfigObject } from '@pulleystack/config.objects'
import { RouteTable, type Route, type RoutingConfig } from '@pulleystack/config.routes'
import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import { explainRoute, type RouteExplanation } from '@pulleystack/gateway.admin'
import { findAllowedService } from '@pulleystack/gateway.callers'
import { parseBearerToken, sendError, type HeldBytes } from '@pulleystack/gateway.http'
import { BackendQueue, ResponseTimes, RoutedGateway, StreamFlusher, SuspectGate } from '@pulleystack/gateway.routed'
import { hashAccessKey } from '@pulleystack/core.hashing'
import { ResidencyClient, type WeightsAnswer } from '@pulleystack/placement.residency'
import { BackendFleet, ServerReports, type Backend, type BackendEntry } from '@pulleystack/routing.fleet'
import { BackendAgent, ServerProbe } from '@pulleystack/routing.forward'
import { StreamOrigins, VersionHistory } from '@pulleystack/routing.origins'
import { ServerPaths } from '@pulleystack/routing.paths'
import { ExclusiveRunRule, Quarantine } from '@pulleystack/routing.quarantine'
import { RetryBudgets } from '@pulleystack/routing.retries'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import type { Routing } from './createRouting.js'
import type { Core } from './startInstance.js'

const DEFAULT_PRIORITY = 5
const DEFAULT_TARGET_LATENCY_MS = 1_000
const DEFAULT_ATTEMPTS = 2
const MAX_CONNECTIONS = 200
const SLOTS_PER_SERVER = 64
const RETRY_RATIO = 0.1
const EXTRA_RETRIES = 20
const RETRY_WINDOW_MS = 10_000
/** The instance's listener enforces header and idle limits itself. */
const UNLIMITED = Number.MAX_SAFE_INTEGER

/** Serves requests that match a route of the configuration. */
export interface RoutedRequests {
  gateway: RoutedGateway
  /** Explains where requests for a host and path could run now, for one partner's routes or for all. */
  explain: (partner: string | undefined, host: string, path: string) => RouteExplanation
  /** Serves the request if a route matches its host and path; resolves with false if none does. */
  tryHandle: (request: http.IncomingMessage, response: http.ServerResponse, url: URL) => Promise<boolean>
}

/** Creates the gateway for routed requests to plain services, from the objects and servers known to the instance. */
export function createRoutedRequests (core: Core, routing: Routing, held: HeldBytes): RoutedRequests {
  const { clock, random, index, replica, settings } = core
  const fleet = new BackendFleet()
  const log = new NullDecisionLog()
  const residency = new NoResidency()
  const queue = new BackendQueue({ clock, random, fleet, residency, log, policy: DEFAULT_POLICY, dataHall: settings.dataHall })
  const state: { table: RouteTable } = { table: new RouteTable(buildConfig(core)) }
  const refresh = (): void => {
    state.table = new RouteTable(buildConfig(core))
    fleet.replaceAll(listEntries(core, routing))
  }
  replica.changes.subscribe(refresh)
  core.view.serverChanges.subscribe(refresh)
  const budgets = createBudgets(core)
  const agent = new BackendAgent(clock)
  const probe = new ServerProbe(clock)
  const handleRestored = ({ entry }: Backend): void => {
    agent.closeIdle(entry.address)
    queue.assignSlots()
  }
  const paths = new ServerPaths({ clock, random, network: core.network, fleet, probe, log, listPeers: () => listOthers(core), onRestored: handleRestored })
  paths.start(core.ended.signal)
  const gateway = new RoutedGateway({
    clock,
    random,
    log,
    agent,
    paths,
    suspects: new SuspectGate({ clock, log, fleet, quarantine: createQuarantine(core), paths }),
    protocol: new DefaultRoutedProtocol(),
    held,
    queue,
    slots: queue,
    fleet,
    origins: startOrigins(core, fleet),
    reports: new ServerReports({ clock, log, fleet }),
    flusher: new StreamFlusher(clock),
    responseTimes: new ResponseTimes(),
    residency,
    findBudget: (service) => budgets.find(service),
    countRequest: (service) => budgets.recordRequest(service),
    readTable: () => state.table,
    isTableCurrent: () => true,
    mayStart: () => true,
    mustClose: () => core.view.self.leaving,
    onOutcome: ({ service, status, code, ms }) => core.metrics.countRequest({ partner: service.split('/', 1)[0] as string, route: 'routed', status, code, ms }),
  })
  const tryHandle = async (request: http.IncomingMessage, response: http.ServerResponse, url: URL): Promise<boolean> => {
    const route = state.table.findRoute(request.headers.host ?? '', url.pathname)
    if (!route) return false
    try {
      authorize(index, request, route)
    } catch (thrown) {
      sendError(response, convertToError(thrown))
      return true
    }
    assignAttempt(request, core.createId())
    await gateway.handle(request, response)
    return true
  }
  const explain = (partner: string | undefined, host: string, path: string): RouteExplanation => explainRoute({
    table: state.table,
    listBackends: (service) => fleet.list(service),
    now: clock.readTime(),
    partner,
    host,
    path,
  })
  return { gateway, explain, tryHandle }
}

/** Creates retry budgets, bounded separately for each process run of an instance. */
function createBudgets ({ clock, network, view }: Core): RetryBudgets {
  const standing = {
    countInstances: () => view.listEligible().length,
    readServingMs: () => Infinity,
    readRunMs: () => Infinity,
    listPeers: () => [],
  }
  return new RetryBudgets({ clock, network, membership: standing, ratio: RETRY_RATIO, fixedAllowance: EXTRA_RETRIES, windowMs: RETRY_WINDOW_MS })
}

/** Creates the quarantine for requests during which servers crashed. All instances share it in memory; it is lost if all stop at once. */
function createQuarantine (core: Core): Quarantine {
  const { clock, network, view, ended } = core
  const { instance } = view.self
  const quarantine = new Quarantine({ clock, network, membership: { instance, listServing: () => listOthers(core) }, rule: new ExclusiveRunRule() })
  quarantine.start(ended.signal)
  return quarantine
}

/** Starts to exchange where streams began with other instances until this one ends. */
function startOrigins (core: Core, fleet: BackendFleet): StreamOrigins {
  const { clock, network, view, ended } = core
  const versions = new VersionHistory({ clock, fleet })
  const origins = new StreamOrigins({ clock, network, versions, log: new NullDecisionLog(), instance: view.self.instance, listServing: () => listOthers(core) })
  origins.start(ended.signal)
  return origins
}

function listOthers ({ view }: Core): string[] {
  return view.listEligible().map((identity) => identity.instance).filter((other) => other !== view.self.instance)
}

/** Residency of plain services, which have no models to place. */
class NoResidency extends ResidencyClient {
  override async requestWeights (): Promise<WeightsAnswer> {
    return { coming: false, reason: 'routes lead to plain services' }
  }

  override recordRequest (): void {
    // Nothing to place.
  }

  override recordInFlight (): () => void {
    return () => undefined
  }

  override recordEnded (): void {
    // Nothing to place.
  }
}

function buildConfig (core: Core): RoutingConfig {
  const objects = core.index.listObjects(Kinds.ROUTE)
  const routes = objects.map(buildRoute)
  const names = new Set(routes.flatMap((route) => route.targets.map((target) => target.service)))
  return {
    version: core.replica.newestVersion,
    routes,
    services: [...names].map((name) => ({ name, maxConnections: MAX_CONNECTIONS, serving: undefined })),
    limits: { headerBytes: UNLIMITED, bodyBytes: core.settings.limits.bodyBytes, headerTimeoutMs: UNLIMITED, idleTimeoutMs: UNLIMITED },
  }
}

function buildRoute (object: ConfigObject<'Route'>): Route {
  const { partner, name, spec } = object
  return {
    name: `${partner}/${name}`,
    host: spec.host,
    pathPrefix: spec.pathPrefix,
    targets: spec.targets.map(({ service, weight }) => ({ service: `${partner}/${service}`, weight })),
    repeat: spec.repeat,
    streams: spec.streams ?? false,
    resumable: spec.resumable ?? false,
    timeoutMs: spec.timeoutMs,
    targetLatencyMs: spec.targetLatencyMs ?? Math.min(DEFAULT_TARGET_LATENCY_MS, spec.timeoutMs),
    longestPauseMs: spec.longestPauseMs,
    priority: spec.priority ?? DEFAULT_PRIORITY,
    maxAttempts: spec.maxAttempts ?? (spec.repeat === 'once' ? 1 : DEFAULT_ATTEMPTS),
  }
}

/** Lists the servers that selectors allow for each routed service. */
function listEntries (core: Core, routing: Routing): BackendEntry[] {
  const services = new Set(core.index.listObjects(Kinds.ROUTE).flatMap(({ partner, spec }) => spec.targets.map((target) => `${partner}/${target.service}`)))
  return [...services].flatMap((service) => {
    const [partner, name] = service.split('/') as [string, string]
    return routing.eligible.list(partner, name).map(({ server }) => ({
      id: `${server.id}|${service}`,
      service,
      address: server.address,
      dataHall: server.dataHall,
      slots: SLOTS_PER_SERVER,
      draining: server.leaving,
      models: undefined,
      inMemory: [],
      onDisk: [],
    }))
  })
}

/** Throws unless the request's key belongs to a caller that may use all services of the route. */
function authorize (index: Core['index'], request: http.IncomingMessage, route: Route): void {
  const key = parseBearerToken(request.headers)
  const caller = key === undefined ? undefined : index.findCaller(hashAccessKey(key))
  if (!caller) throw new PulleystackError('ACCESS_KEY_WRONG', 'The access key is missing or unknown', { hint: 'Send it as "Authorization: Bearer KEY".' })
  for (const target of route.targets) {
    const [partner, name] = target.service.split('/') as [string, string]
    if (partner !== caller.partner) throw new PulleystackError('SERVICE_UNKNOWN', 'No such route is available to this caller')
    findAllowedService(index, caller, name)
  }
}
