import type { ModelServing, ServedModel } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import { Allocation } from './Allocation.js'
import type { ModelDemand } from './DemandTracker.js'
import type { WaitingStake } from './WaitingStake.js'

/** Models that a server can load without the weight store. */
export interface LocalWeights {
  inMemory: readonly string[]
  onDisk: readonly string[]
}

/** State of a server that the plan depends on. */
export interface PlannedServer extends LocalWeights {
  id: string
  /** Undefined when not known. */
  dataHall?: string
  /** Models in accelerator memory, including the one that is being loaded. */
  models: readonly string[]
  /** The model that is being loaded. */
  loading?: string
  /** Models whose load order may still be accepted or is long overdue. They may use memory, but don't count as copies. */
  reserved?: readonly string[]
  /** Estimated milliseconds until the orders in progress end; 0 when there are none. */
  busyMs: number
  /** Models that were loaded too recently to be unloaded. */
  recentlyLoaded: readonly string[]
  /** Milliseconds until orders may be sent to it. */
  holdOffMs: number
  /** Running requests. */
  running: number
  /** Limit in requests per second; undefined when the server advertises none. */
  limitPerSecond?: number | undefined
}

export interface PlanInput {
  serving: ModelServing
  policy: Policy
  servers: readonly PlannedServer[]
  readDemand: (model: string) => ModelDemand
  /** Requests that wait for the first copy of a model. */
  listWaiting?: (model: string) => readonly WaitingStake[]
  /** Ids of the servers that may be chosen; all by default. */
  onlyServers?: ReadonlySet<string>
}

/** A load of a model on a server, after the victims have been unloaded. */
export interface PlannedLoad {
  server: string
  model: string
  victims: readonly string[]
  /** Milliseconds from the load order until the model is loaded. */
  loadMs: number
  /** Milliseconds until the load order can be sent. */
  clearMs: number
  /** Whether the weights come from the weight store, whose load rate is limited. */
  fromStore: boolean
}

/**
 * How long the current demand is assumed to last; a load pays off only in the time left after it has finished, so that one from the weight store has to
 * save more than one from memory. Demand moved to other models every seven to ten seconds.
 */
const PLANNING_HORIZON_MS = 11_000
/** Time from an unload order to the report of its completion when no request is running. */
const MIN_UNLOAD_MS = 300
/**
 * Cost of a load in requests per second while it blocks other orders on its server, which carries out one at a time: a load that saves little must not
 * delay one that saves much.
 */
const ORDER_COST = 0.1
/** Cost in requests per second of waiting for a victim's running streams; used only to rank victims. */
const UNLOAD_WAIT_COST = 0.3
/** Net requests that a load must save over the horizon; prevents needless swapping of models. */
const MIN_GAIN = 0.4
/** Bounds the cost of a plan in a system with hundreds of models. */
const MAX_MODELS_PER_PLAN = 24
/** Requests per second lost above which a model is considered for a load. */
const MIN_SHORTFALL = 0.02

/** Milliseconds until a model could be loaded, at best, if it were the next load on one of the servers. */
export function estimateEarliestMs (servers: readonly PlannedServer[], served: ServedModel): number {
  return Math.min(...servers.map((server) => Math.max(server.holdOffMs, server.busyMs) + chooseSource(server, served).loadMs))
}

/** Milliseconds that a load takes on the server with the fastest source for the model. */
export function estimateLoadMs (servers: readonly LocalWeights[], served: ServedModel): number {
  return Math.min(...servers.map((server) => chooseSource(server, served).loadMs))
}

interface LoadCandidate {
  load: PlannedLoad
  /** Net requests saved over the horizon. */
  gain: number
  /** The server has to finish other orders first. */
  isDelayed: boolean
}

/**
 * Chooses the load that saves the most requests; undefined when none saves enough. `mayUseStore` is false while the weight store allows no further
 * load; `onlyModel` restricts the plan to one model.
 */
export function planLoad (input: PlanInput, mayUseStore: boolean, onlyModel?: string): PlannedLoad | undefined {
  const context = createContext(input)
  let best: LoadCandidate | undefined
  for (const served of listUnderserved(context, onlyModel)) {
    const candidate = chooseServer(context, served)
    if (!candidate || candidate.gain < MIN_GAIN || candidate.isDelayed) continue
    if (candidate.load.fromStore && !mayUseStore) continue
    if (!best || candidate.gain > best.gain) best = candidate
  }
  return best?.load
}

/** Chooses the server where a load of a model saves the most. A busy server is included, as one with the model on disk may be worth waiting for. */
function chooseServer (context: PlanContext, served: ServedModel): LoadCandidate | undefined {
  let best: LoadCandidate | undefined
  for (const server of context.input.servers) {
    if (server.models.includes(served.name) || context.input.onlyServers?.has(server.id) === false) continue
    // Its load of this model is long overdue or has just failed.
    if (server.busyMs > 0 && server.reserved?.includes(served.name)) continue
    if (server.busyMs > 0 && !context.input.policy.waitForDisk) continue
    const candidate = evaluateLoad(context, server, served)
    if (candidate && (!best || candidate.gain > best.gain)) best = candidate
  }
  return best
}

/** Models that lose requests, sorted by descending loss. */
function listUnderserved ({ input, allocation }: PlanContext, onlyModel: string | undefined): ServedModel[] {
  const models = onlyModel === undefined ? input.serving.models : input.serving.models.filter((model) => model.name === onlyModel)
  const underserved = models
    .map((served) => ({ served, shortfall: allocation.computeShortfall(served.name) }))
    .filter(({ shortfall }) => shortfall > MIN_SHORTFALL)
  return underserved.sort((a, b) => b.shortfall - a.shortfall).slice(0, MAX_MODELS_PER_PLAN).map(({ served }) => served)
}

/** Where a server loads a model from. */
export interface LoadSource {
  loadMs: number
  fromStore: boolean
}

/** State shared by all evaluations of one plan. */
interface PlanContext {
  input: PlanInput
  allocation: Allocation
  models: ReadonlyMap<string, ServedModel>
  /** Megabytes reserved for adapters on each server. */
  adapterMb: number
  /** Models that may be unloaded, by server id, cheapest first. */
  evictable: Map<string, readonly string[]>
}

function createContext (original: PlanInput): PlanContext {
  const demands = new Map<string, ModelDemand>()
  const readDemand = (model: string): ModelDemand => {
    const demand = demands.get(model) ?? original.readDemand(model)
    demands.set(model, demand)
    return demand
  }
  const input = { ...original, readDemand }
  const { serving, servers } = original
  return {
    input,
    allocation: new Allocation(serving.batchSlots, readDemand, servers),
    models: new Map(serving.models.map((model) => [model.name, model])),
    adapterMb: Math.max(0, ...serving.models.map((model) => model.adapterMb)) * serving.adapterSlots,
    evictable: new Map(),
  }
}

/** Evaluates a load on one server, net of what its victims would have served. */
function evaluateLoad (context: PlanContext, server: PlannedServer, served: ServedModel): LoadCandidate | undefined {
  const { input, allocation } = context
  const source = chooseSource(server, served)
  const victims = chooseVictims(context, server, served)
  if (!victims) return undefined
  const clearMs = Math.max(server.holdOffMs, server.busyMs) + victims.reduce((sum, victim) => sum + estimateUnloadMs(input, allocation, victim), 0)
  const totalMs = clearMs + source.loadMs
  if (totalMs >= PLANNING_HORIZON_MS) return undefined
  const lost = victims.reduce((sum, victim) => sum + allocation.computeLoss(victim, server.id), 0)
  for (const victim of victims) allocation.remove(victim, server.id)
  const saved = allocation.computeGain(served.name, server.id)
  for (const victim of victims) allocation.add(victim, server.id)
  const gain = (saved * (PLANNING_HORIZON_MS - totalMs) - lost * PLANNING_HORIZON_MS - ORDER_COST * totalMs) / 1000
  return { gain, isDelayed: server.busyMs > 0, load: { server: server.id, model: served.name, victims, clearMs, ...source } }
}

/** Chooses the cheapest models to unload until there is room; undefined when there can't be enough. */
function chooseVictims (context: PlanContext, server: PlannedServer, served: ServedModel): string[] | undefined {
  const { input, models, adapterMb } = context
  const used = [...server.models, ...(server.reserved ?? []).filter((name) => name !== served.name)]
  let freeMb = input.serving.weightsMb - used.reduce((sum, name) => sum + (models.get(name)?.weightsMb ?? Infinity), 0)
  const neededMb = served.weightsMb + adapterMb
  if (freeMb >= neededMb) return []
  const victims: string[] = []
  for (const name of listEvictable(context, server)) {
    victims.push(name)
    freeMb += models.get(name)?.weightsMb ?? 0
    if (freeMb >= neededMb) return victims
  }
  return undefined
}

function listEvictable (context: PlanContext, server: PlannedServer): readonly string[] {
  const cached = context.evictable.get(server.id)
  if (cached) return cached
  const evictable = server.models
    .filter((name) => !server.recentlyLoaded.includes(name))
    .map((name) => ({ name, cost: computeEvictionCost(context, server, name), idleMs: context.input.readDemand(name).idleMs }))
  // Among equal costs, the least recently used model comes first.
  evictable.sort((a, b) => a.cost - b.cost || b.idleMs - a.idleMs)
  const names = evictable.map(({ name }) => name)
  context.evictable.set(server.id, names)
  return names
}

/** Requests lost over the horizon by unloading a model and by waiting for its streams to end. */
function computeEvictionCost ({ input, allocation }: PlanContext, server: PlannedServer, victim: string): number {
  return (allocation.computeLoss(victim, server.id) * PLANNING_HORIZON_MS + UNLOAD_WAIT_COST * estimateUnloadMs(input, allocation, victim)) / 1000
}

/** An unload waits for the longest running stream, which grows with the number of streams. */
function estimateUnloadMs (input: PlanInput, allocation: Allocation, victim: string): number {
  return MIN_UNLOAD_MS + Math.log1p(allocation.computeSlotsPerCopy(victim)) * input.readDemand(victim).heldMs
}

/** Chooses the fastest source of a model for a server. */
export function chooseSource (server: LocalWeights, served: ServedModel): LoadSource {
  if (server.inMemory.includes(served.name)) return { loadMs: served.memorySeconds * 1000, fromStore: false }
  if (server.onDisk.includes(served.name)) return { loadMs: served.diskSeconds * 1000, fromStore: false }
  return { loadMs: served.loadSeconds * 1000, fromStore: true }
}
