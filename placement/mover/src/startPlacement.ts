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
import { answerDrains, drainEverywhere } from './drainChannel.js'
import { LoadBudget } from './LoadBudget.js'
import { ShardKeeper, type EngineHint, type ShardStatus } from './ShardKeeper.js'

const DEMAND = defineChannel<Record<string, number>>('placement.demand')
const REFUSALS = defineChannel<{ shard: string, items: string[] }>('placement.refusals')

const DEMAND_MS = 1_000
const READING_AGE_MS = 5_000
const DEAD_AFTER_MS = 2_500

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

/** What the rest of the program sees of placement. */
export interface Placement {
  /** The instance that should hold an engine's shard; undefined before the map is read. */
  findHolder: (server: ListedInstance) => string | undefined
  /** Status of the shards that this instance holds. */
  readStatus: () => ShardStatus[]
  /** Hands the held shards over. */
  stop: () => Promise<void>
}

interface Running extends PlacementOptions {
  map: ShardMap | undefined
  keepers: Map<string, ShardKeeper>
  demand: DemandEstimator
  refusals: Map<string, Set<string>>
  stopped: boolean
}

/** Takes this instance's part in placement until the signal ends. */
export function startPlacement (opts: PlacementOptions, signal: AbortSignal): Placement {
  const running: Running = { ...opts, map: undefined, keepers: new Map(), demand: new DemandEstimator(), refusals: new Map(), stopped: false }
  answerDrains(opts)
  const subscriptions = [
    opts.network.receive(DEMAND).subscribe(({ from, body }) => running.demand.takeReading(from, body, opts.clock.readTime())),
    opts.network.receive(REFUSALS).subscribe(({ body }) => running.refusals.set(body.shard, new Set(body.items))),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()))
  void keepStepping(running, signal)
  void keepReportingDemand(running, signal)
  return {
    findHolder: (server) => running.map && opts.view.findOwner(`placement/${chooseShard(running.map, server.region, server.id)}`),
    readStatus: () => [...running.keepers.values()].flatMap((keeper) => keeper.readStatus() ?? []),
    stop: async () => {
      running.stopped = true
      await Promise.all([...running.keepers.values()].map((keeper) => keeper.release()))
    },
  }
}

async function keepStepping (running: Running, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    if (!running.stopped) await stepAll(running)
    await running.clock.wait(running.intervalMs, signal)
  }
}

async function stepAll (running: Running): Promise<void> {
  running.map ??= await readShardMap(running.store, running.shardsPerRegion)
  if (!running.map) return
  running.demand.update(running.clock.readTime(), READING_AGE_MS)
  await Promise.all(listAllShards(running).map((shard) => stepShard(running, shard)))
}

async function stepShard (running: Running, shard: string): Promise<void> {
  const keeper = findKeeper(running, shard)
  if (!running.view.isOwner(`placement/${shard}`)) {
    await keeper.release()
    return
  }
  await keeper.step()
  const items = keeper.listUnplaced()
  running.refusals.set(shard, new Set(items))
  if (listAllShards(running).length > 1) running.network.broadcast(REFUSALS, { shard, items })
}

function findKeeper (running: Running, shard: string): ShardKeeper {
  const present = running.keepers.get(shard)
  if (present) return present
  const created = createKeeper(running, shard)
  running.keepers.set(shard, created)
  return created
}

function createKeeper (running: Running, shard: string): ShardKeeper {
  const { clock, view, limits, createId } = running
  const shards = listAllShards(running).length
  const lease = new ShardLease({ ...running, shard, holder: `${view.self.instance}/${createId()}`, createOperation: createId })
  const budget = new LoadBudget({ clock, loadsPerSecond: limits.loadsPerSecond / shards, loadsAtOnce: Math.max(1, limits.loadsAtOnce / shards) })
  return new ShardKeeper({
    ...running,
    shard,
    lease,
    budget,
    planner: new HysteresisPlanner(),
    deadAfterMs: DEAD_AFTER_MS,
    listShards: () => listAllShards(running),
    listServers: () => listShardServers(running, shard),
    readDemand: (item) => running.demand.read(item),
    hasRefused: (other, item) => running.refusals.get(other)?.has(item) ?? false,
    readHint: (server) => readHint(running, server),
    drain: (server, item) => drainEverywhere(running, server, item),
  })
}

function readHint (running: Running, server: string): EngineHint | undefined {
  const runner = running.table.findRunner(server)
  return runner?.reportedAt === undefined ? undefined : { at: runner.reportedAt, items: runner.listItems() }
}

function listAllShards (running: Running): string[] {
  const engines = running.view.listServers().filter((server) => server.role === InstanceRoles.ENGINE)
  return running.map ? listShards(running.map, engines.map((server) => server.region)) : []
}

function listShardServers (running: Running, shard: string) {
  const { map } = running
  if (!map) return []
  return running.view.listServers().filter((server) => server.role === InstanceRoles.ENGINE && chooseShard(map, server.region, server.id) === shard)
}

/** Tells the shards' owners what was asked for here. */
async function keepReportingDemand (running: Running, signal: AbortSignal): Promise<void> {
  const { clock, view, network } = running
  while (!signal.aborted) {
    await clock.wait(DEMAND_MS, signal)
    const rates = running.meter.take(clock.readTime())
    const owners = new Set(listAllShards(running).map((shard) => view.findOwner(`placement/${shard}`)))
    for (const owner of owners) {
      if (owner === view.self.instance) running.demand.takeReading(owner, rates, clock.readTime())
      else network.send(owner, DEMAND, rates)
    }
  }
}
