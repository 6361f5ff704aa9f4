import { Kinds, parseItem } from '@pulleystack/config.objects'
import { defineChannel } from '@pulleystack/membership.peers'
import { DemandMeter } from '@pulleystack/placement.demand'
import { startPlacement, type Placement } from '@pulleystack/placement.mover'
import type { ListedInstance, ResidentItem, WeightStoreLimits } from '@pulleystack/backend.interfaces'
import { startCollector } from '@pulleystack/routing.runners'
import type { Routing } from './createRouting.js'
import type { Core } from './startInstance.js'

const STATUS = defineChannel<null, InstanceStatus>('instance.status')
const STATUS_TIMEOUT_MS = 2_000

/** Status of one instance, as shown by `pulleystack status`. */
export interface InstanceStatus {
  instance: string
  dataHall: string
  state: string
  ready: boolean
  configVersion: number
  objects: number
  runners: number
  queued: number
  claims: number
  shards: ReturnType<Placement['readStatus']>
}

type ListServingInstances = (partner: string, service: string) => readonly { instance: string }[]

/** Collection of reports, placement and status of one instance. */
export interface Control {
  meter: DemandMeter
  /** Starts collecting reports and placing items; `listServingInstances` lists the instances that serve a service. */
  start: (signal: AbortSignal, listServingInstances: ListServingInstances) => void
  /** Stops placement and hands it over to other instances. */
  handOver: () => Promise<void>
  readStatus: () => InstanceStatus
  collectStatus: () => Promise<InstanceStatus[]>
}

export function createControl (core: Core, routing: Routing, limits: WeightStoreLimits): Control {
  const { settings, deps } = core
  const meter = new DemandMeter(core.clock.readTime())
  let placement: Placement | undefined
  const readStatus = (): InstanceStatus => ({
    instance: settings.instance,
    dataHall: settings.dataHall,
    state: core.view.self.state,
    ready: core.replica.isComplete,
    configVersion: core.replica.newestVersion,
    objects: core.replica.size,
    runners: routing.table.size,
    queued: routing.queue.size,
    claims: routing.claims.size,
    shards: placement?.readStatus() ?? [],
  })
  core.network.handleCalls(STATUS, () => readStatus())
  addGauges(core, routing)
  return {
    meter,
    readStatus,
    start: (signal, listServingInstances) => {
      startCollector({
        ...core,
        engines: deps.engines,
        table: routing.table,
        listSubscribers: (server, items) => listInterested(core, listServingInstances, placement, server, items),
        reportWaitMs: settings.timings.reportWaitMs,
      }, signal)
      placement = startPlacement({
        ...core,
        ...settings.placement,
        store: deps.store,
        engines: deps.engines,
        table: routing.table,
        meter,
        limits,
        shardsPerRegion: 1,
      }, signal)
    },
    handOver: async () => placement?.stop(),
    collectStatus: async () => {
      const answers = await Promise.all(listOthers(core).map((peer) => core.network.call(peer, STATUS, null, STATUS_TIMEOUT_MS)))
      return [readStatus(), ...answers.flatMap((answer) => answer.isOk() ? [answer.value] : [])]
    },
  }
}

/** Lists the instances that need an engine's reports: those that serve its resident items, and the holder of its placement shard. */
function listInterested (
  core: Core,
  listServingInstances: ListServingInstances,
  placement: Placement | undefined,
  server: ListedInstance,
  items: readonly ResidentItem[],
): string[] {
  const services = new Set<string>()
  for (const { item } of items) {
    const { partner, model } = parseItem(item)
    const service = model === undefined ? undefined : core.index.findObject(Kinds.MODEL, partner, model)?.spec.service
    if (service !== undefined) services.add(`${partner}/${service}`)
  }
  const interested = new Set<string>()
  for (const name of services) {
    const [partner, service] = name.split('/') as [string, string]
    for (const member of listServingInstances(partner, service)) interested.add(member.instance)
  }
  const holder = placement?.findHolder(server)
  if (holder !== undefined) interested.add(holder)
  return [...interested]
}

function listOthers (core: Core): string[] {
  return core.view.listMembers().filter((member) => member.state !== 'suspect' && member.instance !== core.settings.instance).map((member) => member.instance)
}

function addGauges (core: Core, routing: Routing): void {
  core.metrics.addGauge('config_version', 'Newest version of the object API in the replica', () => core.replica.newestVersion)
  core.metrics.addGauge('queued_requests', 'Requests waiting for a slot', () => routing.queue.size)
  core.metrics.addGauge('claims_held', 'Idempotency keys held in memory', () => routing.claims.size)
  core.metrics.addGauge('claim_commits_total', 'Group commits of claims', () => routing.claims.commits)
  core.metrics.addGauge('live_instances', 'Entry instances eligible to own work', () => core.view.listEligible().length)
  core.metrics.addGauge('peer_sent_bytes_total', 'Bytes sent to peers', () => core.network.sentBytes)
}
