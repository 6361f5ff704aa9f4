import type { ConfigIndex } from '@pulleystack/config.replica'
import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { MembershipView } from '@pulleystack/membership.view'
import { DemandEstimator, type DemandMeter } from '@pulleystack/placement.demand'
import { chooseShard, listShards, readShardMap, ShardLease, type ShardMap } from '@pulleystack/placement.ledger'
import { HysteresisPlanner } from '@pulleystack/placement.planner'
import { InstanceRoles, type EngineClient, type ListedInstance, type ObjectStore, type WeightStoreLimits } from '@pulleystack/backend.interfaces'
import type { RunnerTable } from '@pulleystack/routing.runners'
import type { EventRing } from '@pulleystack/timeline.events'
import { handleDrains, drainOnAllInstances } from './drainChannel.js'
import { LoadBudget } from './LoadBudget.js'
import { ShardController, type ReportedItems, type ShardStatus } from './ShardController.js'

const DEMAND = defineChannel<Record<string, number>>('placement.demand')
const REJECTIONS = defineChannel<{ shard: string, items: string[] }>('placement.refusals')

const DEMAND_INTERVAL_MS = 1_000
const MAX_READING_AGE_MS = 5_000
const FAILURE_TIMEOUT_MS = 2_500

export interface PlacementOptions {
  clock: Clock
  view: MembershipView
  network: PeerNetwork
  store: ObjectStore
  engines: EngineClient
  index: ConfigIndex
  table: RunnerTable
  ring: EventRing
  meter: DemandMeter
  limits: WeightStoreLimits
  leaseMs: number
  orderDelayMs: number
  intervalMs: number
  shardsPerRegion: number
  createId: () => string
}

/** The placement running on this instance. */
export interface Placement {
  /** Returns the instance that should hold an engine's shard; undefined until the shard map has been read. */
  findHolder: (server: ListedInstance) => string | undefined
  /** Returns the status of the shards that this instance holds. */
  readStatus: () => ShardStatus[]
  /** Releases the shards that this instance holds. */
  stop: () => Promise<void>
}

interface PlacementState extends PlacementOptions {
  map: ShardMap | undefined
  controllers: Map<string, ShardController>
  demand: DemandEstimator
  rejections: Map<string, Set<string>>
  stopped: boolean
}

/** Starts placement on this instance; it runs until the signal is aborted. */
export function startPlacement (opts: PlacementOptions, signal: AbortSignal): Placement {
  const state: PlacementState = { ...opts, map: undefined, controllers: new Map(), demand: new DemandEstimator(), rejections: new Map(), stopped: false }
  handleDrains(opts)
  const subscriptions = [
    opts.network.receive(DEMAND).subscribe(({ from, body }) => state.demand.recordRates(from, body, opts.clock.readTime())),
    opts.network.receive(REJECTIONS).subscribe(({ body }) => state.rejections.set(body.shard, new Set(body.items))),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()))
  void runSteps(state, signal)
  void reportDemand(state, signal)
  return {
    findHolder: (server) => state.map && opts.view.findOwner(`placement/${chooseShard(state.map, server.region, server.id)}`),
    readStatus: () => [...state.controllers.values()].flatMap((controller) => controller.readStatus() ?? []),
    stop: async () => {
      state.stopped = true
      await Promise.all([...state.controllers.values()].map((controller) => controller.release()))
    },
  }
}

async function runSteps (state: PlacementState, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    if (!state.stopped) await stepAllShards(state)
    await state.clock.wait(state.intervalMs, signal)
  }
}

async function stepAllShards (state: PlacementState): Promise<void> {
  state.map ??= await readShardMap(state.store, state.shardsPerRegion)
  if (!state.map) return
  state.demand.update(state.clock.readTime(), MAX_READING_AGE_MS)
  await Promise.all(listAllShards(state).map((shard) => stepShard(state, shard)))
}

async function stepShard (state: PlacementState, shard: string): Promise<void> {
  const controller = getController(state, shard)
  if (!state.view.isOwner(`placement/${shard}`)) {
    await controller.release()
    return
  }
  await controller.step()
  const items = controller.listUnplaced()
  state.rejections.set(shard, new Set(items))
  if (listAllShards(state).length > 1) state.network.broadcast(REJECTIONS, { shard, items })
}

function getController (state: PlacementState, shard: string): ShardController {
  const existing = state.controllers.get(shard)
  if (existing) return existing
  const controller = createController(state, shard)
  state.controllers.set(shard, controller)
  return controller
}

function createController (state: PlacementState, shard: string): ShardController {
  const { clock, view, limits, createId } = state
  const shards = listAllShards(state).length
  const lease = new ShardLease({ ...state, shard, holder: `${view.self.instance}/${createId()}`, createOperationId: createId })
  const budget = new LoadBudget({ clock, loadsPerSecond: limits.loadsPerSecond / shards, loadsAtOnce: Math.max(1, limits.loadsAtOnce / shards) })
  return new ShardController({
    ...state,
    shard,
    lease,
    budget,
    planner: new HysteresisPlanner(),
    failureTimeoutMs: FAILURE_TIMEOUT_MS,
    listShards: () => listAllShards(state),
    listServers: () => listShardServers(state, shard),
    readDemand: (item) => state.demand.readRate(item),
    hasRejected: (other, item) => state.rejections.get(other)?.has(item) ?? false,
    readReportedItems: (server) => readReportedItems(state, server),
    drain: (server, item) => drainOnAllInstances(state, server, item),
  })
}

function readReportedItems (state: PlacementState, server: string): ReportedItems | undefined {
  const runner = state.table.findRunner(server)
  return runner?.reportedAt === undefined ? undefined : { reportedAt: runner.reportedAt, items: runner.listItems() }
}

function listAllShards (state: PlacementState): string[] {
  const engines = state.view.listServers().filter((server) => server.role === InstanceRoles.ENGINE)
  return state.map ? listShards(state.map, engines.map((server) => server.region)) : []
}

function listShardServers (state: PlacementState, shard: string) {
  const { map } = state
  if (!map) return []
  return state.view.listServers().filter((server) => server.role === InstanceRoles.ENGINE && chooseShard(map, server.region, server.id) === shard)
}

/** Sends the demand measured on this instance to the owners of the shards. */
async function reportDemand (state: PlacementState, signal: AbortSignal): Promise<void> {
  const { clock, view, network } = state
  while (!signal.aborted) {
    await clock.wait(DEMAND_INTERVAL_MS, signal)
    const rates = state.meter.take(clock.readTime())
    const owners = new Set(listAllShards(state).map((shard) => view.findOwner(`placement/${shard}`)))
    for (const owner of owners) {
      if (owner === view.self.instance) state.demand.recordRates(owner, rates, clock.readTime())
      else network.send(owner, DEMAND, rates)
    }
  }
}
