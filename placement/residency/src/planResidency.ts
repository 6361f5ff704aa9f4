import type { ModelServing, ServedModel } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import { Allocation } from './Allocation.js'
import type { ModelDemand } from './DemandTracker.js'

/** Models that a server need not fetch from the weight store. */
export interface LoadSources {
  inMemory: readonly string[]
  onDisk: readonly string[]
}

/** One model server as the plan sees it. */
export interface PlannedServer extends LoadSources {
  id: string
  /** Models in its accelerator memory, and one that is being loaded. */
  models: readonly string[]
  /** The model that it is loading. */
  loading?: string
  /** Milliseconds until the orders under way will likely have ended; 0 when there are none. */
  busyMs: number
  /** Models that came so lately that they are not to go again yet. */
  fresh: readonly string[]
  /** Milliseconds until it may be ordered. */
  heldMs: number
  /** Requests that it runs. */
  running: number
  /** Requests a second that it takes; undefined when it names no limit. */
  limitPerSecond?: number | undefined
}

export interface PlanInput {
  serving: ModelServing
  policy: Policy
  servers: readonly PlannedServer[]
  readDemand: (model: string) => ModelDemand
}

/** Load a model at a server, after others have gone from it. */
export interface PlannedLoad {
  server: string
  model: string
  victims: readonly string[]
  /** Milliseconds from the load order to its end. */
  loadMs: number
  /** Milliseconds until the load order, for what has to go first. */
  clearMs: number
  /** It comes from the weight store, which bears few loads a second. */
  fromStore: boolean
}

/**
 * Milliseconds for which the demand that is seen now is thought to last. A load gains only for what is left of it once it is there, so
 * that one from the store has to gain more than one from memory. On the users' days demand moves on every seven to ten seconds.
 */
const HORIZON_MS = 11_000
/** Milliseconds from an unload order to the report that shows its end, when nothing runs. */
const UNLOAD_MS = 300
/**
 * Requests a second that a load must save while it keeps its server from other orders. A server carries out one order at a time, so that a load
 * that gains little must not stand before one that gains much.
 */
const ORDER_PRICE = 0.1
/** Requests a second for which a load waits while its victims finish their streams, when victims are chosen. */
const VICTIM_PRICE = 0.3
/** Requests that a load must save over the horizon, beyond what its victims lose; below it models would come and go for nothing. */
const LEAST_GAIN = 0.4
/** Models with the greatest need that one plan weighs; bounds what a plan costs in a system of hundreds of models. */
const WEIGHED_MODELS = 24
/** Need, in requests a second, from which on a model is weighed at all. */
const LEAST_NEED = 0.02

/** Milliseconds until a model could be there if its load were the next order of the server that has it soonest. */
export function estimateEarliestMs (servers: readonly PlannedServer[], served: ServedModel): number {
  return Math.min(...servers.map((server) => Math.max(server.heldMs, server.busyMs) + chooseTier(server, served).loadMs))
}

/** Milliseconds that a load takes at the server that has the model nearest at hand, once somebody orders it. */
export function estimateLoadMs (servers: readonly LoadSources[], served: ServedModel): number {
  return Math.min(...servers.map((server) => chooseTier(server, served).loadMs))
}

interface WeighedLoad {
  load: PlannedLoad
  /** Requests that it saves over the horizon. */
  gain: number
  /** Its server has to end other orders first. */
  isLater: boolean
}

/** The load that saves the most requests over the coming seconds; undefined when none saves enough. `mayUseStore` is false while the store bears none. */
export function planLoad (input: PlanInput, mayUseStore: boolean, only?: string): PlannedLoad | undefined {
  const context = createContext(input)
  let best: WeighedLoad | undefined
  for (const served of listNeeded(context, only)) {
    const weighed = chooseServer(context, served)
    if (!weighed || weighed.gain < LEAST_GAIN || weighed.isLater) continue
    if (weighed.load.fromStore && !mayUseStore) continue
    if (!best || weighed.gain > best.gain) best = weighed
  }
  return best?.load
}

/** The server at which a load of a model saves the most, among them those that are busy now: one that has it on disk is often worth waiting for. */
function chooseServer (context: PlanContext, served: ServedModel): WeighedLoad | undefined {
  let best: WeighedLoad | undefined
  for (const server of context.input.servers) {
    if (server.models.includes(served.name)) continue
    if (server.busyMs > 0 && !context.input.policy.waitForDisk) continue
    const weighed = rateLoad(context, server, served)
    if (weighed && (!best || weighed.gain > best.gain)) best = weighed
  }
  return best
}

/** Models that lose requests, those that lose the most first. */
function listNeeded ({ input, allocation }: PlanContext, only: string | undefined): ServedModel[] {
  const models = only === undefined ? input.serving.models : input.serving.models.filter((model) => model.name === only)
  const needed = models.map((served) => ({ served, need: allocation.computeNeed(served.name) })).filter(({ need }) => need > LEAST_NEED)
  return needed.sort((a, b) => b.need - a.need).slice(0, WEIGHED_MODELS).map(({ served }) => served)
}

interface Tier {
  loadMs: number
  fromStore: boolean
}

/** What one plan works out once for all loads that it weighs. */
interface PlanContext {
  input: PlanInput
  allocation: Allocation
  models: ReadonlyMap<string, ServedModel>
  /** Megabytes that adapters may take beside the models of a server. */
  adapterMb: number
  /** Models that may go from a server, by its id, those that would be missed the least first. */
  leaving: Map<string, readonly string[]>
}

function createContext (given: PlanInput): PlanContext {
  const demands = new Map<string, ModelDemand>()
  const readDemand = (model: string): ModelDemand => {
    const demand = demands.get(model) ?? given.readDemand(model)
    demands.set(model, demand)
    return demand
  }
  const input = { ...given, readDemand }
  const { serving, servers } = given
  return {
    input,
    allocation: new Allocation(serving.batchSlots, readDemand, servers),
    models: new Map(serving.models.map((model) => [model.name, model])),
    adapterMb: Math.max(0, ...serving.models.map((model) => model.adapterMb)) * serving.adapterSlots,
    leaving: new Map(),
  }
}

/** What a load at one server saves, less what goes for it. */
function rateLoad (context: PlanContext, server: PlannedServer, served: ServedModel): WeighedLoad | undefined {
  const { input, allocation } = context
  const tier = chooseTier(server, served)
  const victims = chooseVictims(context, server, served)
  if (!victims) return undefined
  const clearMs = Math.max(server.heldMs, server.busyMs) + victims.reduce((sum, victim) => sum + estimateUnloadMs(input, allocation, victim), 0)
  const takesMs = clearMs + tier.loadMs
  if (takesMs >= HORIZON_MS) return undefined
  const lost = victims.reduce((sum, victim) => sum + allocation.computeLoss(victim, server.id), 0)
  for (const victim of victims) allocation.remove(victim, server.id)
  const saved = allocation.computeGain(served.name, server.id)
  for (const victim of victims) allocation.add(victim, server.id)
  const gain = (saved * (HORIZON_MS - takesMs) - lost * HORIZON_MS - ORDER_PRICE * takesMs) / 1000
  return { gain, isLater: server.busyMs > 0, load: { server: server.id, model: served.name, victims, clearMs, ...tier } }
}

/** The models whose going loses the least, until there is room; undefined when there can't be. */
function chooseVictims (context: PlanContext, server: PlannedServer, served: ServedModel): string[] | undefined {
  const { input, models, adapterMb } = context
  let free = input.serving.weightsMb - server.models.reduce((sum, name) => sum + (models.get(name)?.weightsMb ?? Infinity), 0)
  const needed = served.weightsMb + adapterMb
  if (free >= needed) return []
  const victims: string[] = []
  for (const name of listLeaving(context, server)) {
    victims.push(name)
    free += models.get(name)?.weightsMb ?? 0
    if (free >= needed) return victims
  }
  return undefined
}

function listLeaving (context: PlanContext, server: PlannedServer): readonly string[] {
  const present = context.leaving.get(server.id)
  if (present) return present
  const leaving = server.models
    .filter((name) => !server.fresh.includes(name))
    .map((name) => ({ name, price: rateVictim(context, server, name), idleMs: context.input.readDemand(name).idleMs }))
  // Of those that nobody would miss now, the one that was not asked for in the longest time goes first.
  leaving.sort((a, b) => a.price - b.price || b.idleMs - a.idleMs)
  const names = leaving.map(({ name }) => name)
  context.leaving.set(server.id, names)
  return names
}

/** Requests that are lost by its going and by the wait for it. */
function rateVictim ({ input, allocation }: PlanContext, server: PlannedServer, victim: string): number {
  return (allocation.computeLoss(victim, server.id) * HORIZON_MS + VICTIM_PRICE * estimateUnloadMs(input, allocation, victim)) / 1000
}

/** An unload waits for the longest of the streams that run, which is longer the more there are. */
function estimateUnloadMs (input: PlanInput, allocation: Allocation, victim: string): number {
  return UNLOAD_MS + Math.log1p(allocation.computePlaces(victim)) * input.readDemand(victim).heldMs
}

function chooseTier (server: LoadSources, served: ServedModel): Tier {
  if (server.inMemory.includes(served.name)) return { loadMs: served.memorySeconds * 1000, fromStore: false }
  if (server.onDisk.includes(served.name)) return { loadMs: served.diskSeconds * 1000, fromStore: false }
  return { loadMs: served.loadSeconds * 1000, fromStore: true }
}
