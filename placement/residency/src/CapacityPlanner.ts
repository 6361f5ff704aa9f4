import type { ServedModel } from '@pulleystack/config.routes'
import { CapacityAllocation } from './CapacityAllocation.js'
import { CopyCapacity } from './CopyCapacity.js'
import type { ModelDemand } from './DemandTracker.js'
import { Evictions, type Eviction } from './Evictions.js'
import { BACKLOG_DRAIN_MS, DEMAND_HORIZON_MS, LATE_SHARE } from './gains.js'
import { isUsed } from './isUsed.js'
import { LoadPlanner, type LoadPlannerInput } from './LoadPlanner.js'
import { ModelNeeds, type ModelNeed } from './ModelNeeds.js'
import { chooseSource, type PlannedLoad, type PlannedServer } from './planResidency.js'
import { ServerPaces } from './ServerPaces.js'
import { SlowCopies } from './SlowCopies.js'
import { computeWaitingGain, listLeftWaiting } from './waitingGain.js'

/** Price of a load in requests; it blocks other orders on its server and prevents needless swapping of models. */
const LOAD_PRICE = 0.4
/** Price in requests per second until a load ends; of two loads with the same gain, the earlier one is made. */
const WAIT_PRICE_PER_SECOND = 0.01
/** Gain in requests below which a load leaves servers to larger ones: it keeps its server from other loads for up to a load time of the weight store. */
const SMALL_GAIN = 4
/** Share of servers carrying out orders from which loads with a small gain wait. */
const MAX_BUSY_SHARE = 0.33
/** Loads with a small gain that may always run, in systems of few servers. */
const MIN_BUSY_SERVERS = 2
/** Minimum gain in requests of the first copy of a model in use, on unused memory: otherwise rare models would never be served. */
const FIRST_COPY_GAIN = 0.2
/** Cost in requests of unloading an unused model for a first copy, so that free memory is used first. */
const UNUSED_VICTIM_COST = 0.02
/** Bonus in requests by which servers of the median pace rank before infinitely slow ones. */
const PACE_BONUS = 0.2
/** Bonus in requests of a data hall without a copy of the model. */
const HALL_BONUS = 0.05
/** Bonus in requests of a server that can serve at least one more request per second. */
const ROOM_BONUS = 0.05
/** Share of the gain of a load from the weight store above which an earlier load from disk or host memory is preferred, since the store limits all loads. */
const MIN_LOCAL_SHARE = 0.5

interface Candidate {
  load: PlannedLoad
  /** Requests gained within the horizon, less all costs. */
  gain: number
  /** Used to choose among servers for one model. */
  rank: number
  readyMs: number
  /** Requests per second that the copy will serve in time. */
  perSecond: number
}

/** State shared by all evaluations of one plan. */
interface Plan {
  input: LoadPlannerInput
  mayUseStore: boolean
  readDemand: (model: string) => ModelDemand
  paces: ServerPaces
  capacity: CopyCapacity
  allocation: CapacityAllocation
  slowCopies: SlowCopies
  evictions: Evictions
  hallOf: ReadonlyMap<string, string | undefined>
}

/** Plans by the requests that copies serve in time at their servers' pace and by those that wait for a load. */
export class CapacityPlanner extends LoadPlanner {
  override planLoad (input: LoadPlannerInput, mayUseStore: boolean): PlannedLoad | undefined {
    const plan = createPlan(input, mayUseStore)
    let best: Candidate | undefined
    for (const { need, maxGain } of listNeeds(plan)) {
      if (best && maxGain <= best.gain) break
      const candidate = chooseServer(plan, need)
      if (candidate && (!best || candidate.gain > best.gain)) best = candidate
    }
    return best && (best.gain >= SMALL_GAIN || hasIdleServers(input.servers)) ? best.load : undefined
  }
}

function createPlan (input: LoadPlannerInput, mayUseStore: boolean): Plan {
  const { serving, servers, listWaiting, demandKnownMs = Infinity, firstDemandMs = Infinity } = input
  const readDemand = createDemandReader(input)
  const paces = new ServerPaces(servers, input.readPace)
  const capacity = new CopyCapacity(serving.batchSlots, paces)
  const allocation = new CapacityAllocation(servers, capacity, readDemand)
  const slowCopies = new SlowCopies(allocation, paces, readDemand)
  const models = new Map(serving.models.map((model): [string, ServedModel] => [model.name, model]))
  const evictions = new Evictions({ serving, models, allocation, slowCopies, readDemand, listWaiting, demandKnownMs, firstDemandMs })
  const hallOf = new Map(servers.map(({ id, dataHall }) => [id, dataHall]))
  return { input, mayUseStore, readDemand, paces, capacity, allocation, slowCopies, evictions, hallOf }
}

/** Reads each model's demand once. The fading rate of an unused model counts as zero, so that its copies can be replaced. */
function createDemandReader ({ readDemand, listWaiting }: LoadPlannerInput): (model: string) => ModelDemand {
  const demands = new Map<string, ModelDemand>()
  return (model) => {
    const present = demands.get(model)
    if (present) return present
    const demand = readDemand(model)
    const counted = isUsed(demand, listWaiting(model).length) ? demand : { ...demand, requestsPerSecond: 0 }
    demands.set(model, counted)
    return counted
  }
}

/** Models that another copy could help, by descending upper bound of the gain. */
function listNeeds (plan: Plan): { need: ModelNeed, maxGain: number }[] {
  const needs = new ModelNeeds({ ...plan, listWaiting: plan.input.listWaiting })
  const { serving, onlyModel } = plan.input
  return serving.models
    .filter(({ name }) => onlyModel === undefined || name === onlyModel)
    .map((served) => needs.compute(served))
    .filter((need) => need !== undefined)
    .map((need) => ({ need, maxGain: computeMaxGain(need) }))
    .sort((a, b) => b.maxGain - a.maxGain)
}

function computeMaxGain ({ unservedPerSecond, slowPerSecond, backlog, waiting }: ModelNeed): number {
  const waitingGain = waiting.reduce((sum, { weight }) => sum + weight, 0)
  return Math.max(FIRST_COPY_GAIN, (unservedPerSecond + slowPerSecond) * DEMAND_HORIZON_MS / 1000 + backlog + waitingGain)
}

/** Chooses the server for a load now. A busy server that has the weights on disk may be worth waiting for; it then counts as if it had the copy. */
function chooseServer (plan: Plan, need: ModelNeed): Candidate | undefined {
  const { servers, onlyServers } = plan.input
  const available = servers.filter((server) => mayLoad(server, need.served.name) && onlyServers?.has(server.id) !== false)
  const idle = available.filter((server) => server.busyMs <= 0)
  const best = chooseIdleServer(plan, need, idle)
  if (!best || !plan.input.policy.waitForDisk) return best
  const busy = available.filter((server) => server.busyMs > 0 && server.busyMs < best.readyMs)
  const delayed = chooseBest(busy.map((server) => evaluateLoad(plan, need, server)).filter((it) => it?.load.fromStore === false))
  if (!delayed || delayed.readyMs >= best.readyMs || delayed.gain < best.gain) return best
  return chooseIdleServer(plan, lowerNeed(need, delayed), idle)
}

function chooseIdleServer (plan: Plan, need: ModelNeed, idle: readonly PlannedServer[]): Candidate | undefined {
  const candidates = idle.map((server) => evaluateLoad(plan, need, server))
  const local = chooseBest(candidates.filter((it) => it?.load.fromStore === false))
  const stored = chooseBest(candidates.filter((it) => it?.load.fromStore === true))
  const isLocalBetter = local && (!stored || local.gain >= stored.gain || (local.readyMs < stored.readyMs && local.gain >= stored.gain * MIN_LOCAL_SHARE))
  return isLocalBetter ? local : stored
}

function chooseBest (candidates: readonly (Candidate | undefined)[]): Candidate | undefined {
  let best: Candidate | undefined
  for (const candidate of candidates) {
    if (candidate && (!best || candidate.rank > best.rank)) best = candidate
  }
  return best
}

/** What remains of a need once a planned copy serves its part. */
function lowerNeed (need: ModelNeed, { perSecond, readyMs }: Candidate): ModelNeed {
  const sparePerSecond = Math.max(0, perSecond - need.unservedPerSecond)
  return {
    ...need,
    unservedPerSecond: Math.max(0, need.unservedPerSecond - perSecond),
    slowPerSecond: 0,
    backlog: Math.max(0, need.backlog - sparePerSecond * BACKLOG_DRAIN_MS / 1000),
    waiting: listLeftWaiting(need.waiting, [{ readyMs, perSecond }]),
    isMissing: false,
  }
}

/** Evaluates a load on one server; undefined when it gains nothing. */
function evaluateLoad (plan: Plan, need: ModelNeed, server: PlannedServer): Candidate | undefined {
  const source = chooseSource(server, need.served)
  if (source.fromStore && (!plan.mayUseStore || server.busyMs > 0)) return undefined
  const eviction = plan.evictions.choose(server, need.served)
  if (!eviction) return undefined
  const clearMs = Math.max(server.holdOffMs, server.busyMs) + eviction.unloadMs
  const readyMs = clearMs + source.loadMs
  const capacity = plan.capacity.compute(plan.readDemand(need.served.name), server)
  const perSecond = plan.allocation.computeRoom(capacity, server.id, eviction.victims)
  const copy = { readyMs, perSecond, isSlow: plan.paces.isSlow(server.id) }
  const gain = Math.max(computeSaved(need, copy) - eviction.cost - LOAD_PRICE, computeFirstCopyGain(need, eviction)) - WAIT_PRICE_PER_SECOND * readyMs / 1000
  if (gain <= 0) return undefined
  const load = { server: server.id, model: need.served.name, victims: eviction.victims, clearMs, ...source }
  const rank = gain + computeServerBonus(plan, need, server) + ROOM_BONUS * Math.min(1, perSecond)
  return { load, gain, rank, readyMs, perSecond }
}

/** Requests that a copy saves within the horizon. */
function computeSaved (need: ModelNeed, copy: { readyMs: number, perSecond: number, isSlow: boolean }): number {
  const servedPerSecond = Math.min(need.unservedPerSecond, copy.perSecond)
  const lessSlowPerSecond = copy.isSlow ? 0 : Math.min(need.slowPerSecond, copy.perSecond)
  const leftMs = Math.max(0, DEMAND_HORIZON_MS - copy.readyMs)
  const drained = Math.min(need.backlog, (copy.perSecond - servedPerSecond) * BACKLOG_DRAIN_MS / 1000)
  const drainedWeight = copy.readyMs <= BACKLOG_DRAIN_MS ? 1 : LATE_SHARE
  return computeWaitingGain(need.waiting, copy) + drained * drainedWeight + (servedPerSecond + lessSlowPerSecond) * leftMs / 1000
}

function computeFirstCopyGain (need: ModelNeed, eviction: Eviction): number {
  return need.isMissing && eviction.isUnused ? FIRST_COPY_GAIN - UNUSED_VICTIM_COST * eviction.victims.length : -Infinity
}

/** Of servers with similar gains, the faster one is chosen, then one in a data hall with fewer copies. */
function computeServerBonus ({ paces, allocation, hallOf }: Plan, { served }: ModelNeed, server: PlannedServer): number {
  const pace = paces.read(server.id)
  const copiesInHall = allocation.listCopies(served.name).filter((copy) => hallOf.get(copy.server) === server.dataHall).length
  return PACE_BONUS * 2 * pace / (pace + paces.median) + HALL_BONUS / (1 + copiesInHall)
}

/** A server that has the model, or may still carry out an unanswered order for it, isn't ordered to load it. */
function mayLoad ({ models, busyMs, reserved }: PlannedServer, model: string): boolean {
  return !models.includes(model) && !(busyMs > 0 && reserved?.includes(model))
}

function hasIdleServers (servers: readonly PlannedServer[]): boolean {
  return servers.filter(({ busyMs }) => busyMs > 0).length < Math.max(MIN_BUSY_SERVERS, servers.length * MAX_BUSY_SHARE)
}
