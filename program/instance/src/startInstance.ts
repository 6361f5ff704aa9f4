import { randomUUID } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import { readFile } from 'node:fs/promises'
import { ConfigIndex, ConfigReplica } from '@pulleystack/config.replica'
import type { Settings } from '@pulleystack/config.settings'
import { startConfigSync } from '@pulleystack/config.sync'
import { parseAddress } from '@pulleystack/core.addresses'
import { RandomSource, SystemClock, type Clock } from '@pulleystack/core.clock'
import { createLogger, type Logger } from '@pulleystack/core.logging'
import { WebSocketNetwork, type PeerIdentity } from '@pulleystack/membership.peers'
import { MembershipView, startMembership } from '@pulleystack/membership.view'
import type { EngineClient, InstanceList, ObjectStore, ServiceClient, WeightStore } from '@pulleystack/backend.interfaces'
import { EventRing } from '@pulleystack/timeline.events'
import { handleTimelineCalls } from '@pulleystack/timeline.merge'
import { createControl, type Control } from './createControl.js'
import { createGateways } from './createGateways.js'
import { createRouting } from './createRouting.js'
import { listen, type Listener } from './listen.js'
import { Metrics } from './Metrics.js'
import { stopInstance } from './stopInstance.js'

/** External dependencies of an instance. */
export interface InstanceDependencies {
  store: ObjectStore
  list: InstanceList
  weights: WeightStore
  engines: EngineClient
  services: ServiceClient
  clock?: Clock
  random?: RandomSource
  logger?: Logger
}

/** One running entry instance. */
export interface Instance {
  name: string
  address: string
  peerAddress: string
  replica: ConfigReplica
  index: ConfigIndex
  view: MembershipView
  ring: EventRing
  control: Control
  network: WebSocketNetwork
  /** True once the configuration is complete. */
  isReady: () => boolean
  /** Stops as planned and finishes accepted requests. A second call stops immediately. Resolves with the number of aborted requests. */
  stop: () => Promise<number>
  /** Stops immediately, like a crash. */
  kill: () => Promise<void>
}

/** Components shared by all parts of an instance. */
export interface Core {
  settings: Settings
  deps: InstanceDependencies
  clock: Clock
  random: RandomSource
  logger: Logger
  ring: EventRing
  view: MembershipView
  network: WebSocketNetwork
  replica: ConfigReplica
  index: ConfigIndex
  metrics: Metrics
  createId: () => string
  ended: AbortController
}

const DEFAULT_WEIGHT_STORE_LIMITS = { loadsPerSecond: 2, loadsAtOnce: 8, bytesPerSecond: 1e9 }

/** Starts an entry instance; resolves when it listens. It serves callers once it has a configuration. */
export async function startInstance (settings: Settings, deps: InstanceDependencies): Promise<Instance> {
  const core = await createCore(settings, deps)
  const peerPort = await core.network.start()
  const peerAddress = `${parseAddress(settings.listen.peers).host}:${peerPort}`
  const routing = createRouting(core)
  const limits = await deps.weights.readLimits()
  const control = createControl(core, routing, limits.unwrapOr(DEFAULT_WEIGHT_STORE_LIMITS))
  const gateways = createGateways(core, routing, control)
  const listener = await listen(core, gateways)
  Object.assign(core.view.self, { address: listener.address, peerAddress })
  handleTimelineCalls(core.network, core.ring)
  await startMembership({ ...core, list: deps.list, listPollMs: settings.timings.listPollMs }, core.ended.signal)
  startConfigSync({ ...core, store: deps.store, digestMs: settings.timings.digestMs }, core.ended.signal)
  control.start(core.ended.signal, (partner, service) => gateways.callers.listServingInstances(partner, service))
  core.logger.info({ address: listener.address, peerAddress }, 'instance is listening')
  return createHandle(core, { control, listener, peerAddress, inFlight: () => gateways.callers.inFlight + gateways.routed.gateway.inFlight })
}

function createHandle (core: Core, parts: { control: Control, listener: Listener, peerAddress: string, inFlight: () => number }): Instance {
  const { control, listener, peerAddress } = parts
  return {
    name: core.settings.instance,
    address: listener.address,
    peerAddress,
    replica: core.replica,
    index: core.index,
    view: core.view,
    ring: core.ring,
    control,
    network: core.network,
    isReady: () => core.replica.isComplete,
    stop: () => stopInstance(core, parts),
    kill: async () => {
      core.ended.abort()
      await Promise.all([listener.closeNow(), core.network.stop()])
    },
  }
}

async function createCore (settings: Settings, deps: InstanceDependencies): Promise<Core> {
  const clock = deps.clock ?? new SystemClock()
  const random = deps.random ?? new RandomSource()
  const logger = deps.logger ?? createLogger({ name: settings.instance, level: settings.log })
  const ring = new EventRing({ clock, instance: settings.instance, dataHall: settings.dataHall })
  const self = createIdentity(settings)
  const view = new MembershipView({ clock, self })
  const replica = new ConfigReplica()
  const { host, port } = parseAddress(settings.listen.peers)
  const network = new WebSocketNetwork({
    clock,
    random,
    logger,
    host,
    port,
    readIdentity: () => view.self,
    findAddress: (instance) => view.findMember(instance)?.peerAddress,
    heartbeatMs: settings.timings.heartbeatMs,
    suspectAfterMs: settings.timings.suspectAfterMs,
    secret: settings.peerKeyFile === undefined ? undefined : (await readFile(settings.peerKeyFile, 'utf8')).trim(),
    tls: settings.tls && await readTls(settings.tls),
  })
  const metrics = new Metrics()
  ring.events.subscribe((event) => metrics.countEvent(event.kind))
  view.memberChanges.subscribe(({ member }) => {
    if (member.instance === settings.instance) network.announceIdentity()
  })
  return {
    settings,
    deps,
    clock,
    random,
    logger,
    ring,
    view,
    network,
    replica,
    index: new ConfigIndex(replica),
    metrics,
    createId: () => randomUUID(),
    ended: createEndedController(),
  }
}

/** Creates the controller whose signal stops all tasks of the instance. */
function createEndedController (): AbortController {
  const ended = new AbortController()
  setMaxListeners(0, ended.signal)
  return ended
}

function createIdentity (settings: Settings): PeerIdentity {
  const { instance, region, dataHall, listen: addresses } = settings
  // Wall time gives a restarted instance a higher incarnation than peers still announce for its previous process run.
  return { instance, incarnation: Math.floor(Date.now() / 1000), address: addresses.callers, peerAddress: addresses.peers, region, dataHall, leaving: false }
}

async function readTls (files: { authority: string, certificate: string, key: string }): Promise<{ ca: string, cert: string, key: string }> {
  const [ca, cert, key] = await Promise.all([files.authority, files.certificate, files.key].map((file) => readFile(file, 'utf8')))
  return { ca: ca as string, cert: cert as string, key: key as string }
}
