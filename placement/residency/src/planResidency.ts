import type { ModelServing, ServedModel } from '@pulleystack/config.routes'

/** One model server as the plan sees it. */
export interface PlannedServer {
  id: string
  /** Models in its accelerator memory, and one that is being loaded. */
  models: readonly string[]
  inMemory: readonly string[]
  onDisk: readonly string[]
  /** An order is under way, or what an earlier one did is not known yet. */
  busy: boolean
  /** Models that came so lately that they are not to go again yet. */
  fresh: readonly string[]
  /** Milliseconds until it may be ordered. */
  heldMs: number
  /** Requests that it runs. */
  running: number
}

/** How much a model is asked for. */
export interface ModelDemand {
  /** Servers that its demand would keep busy. */
  rate: number
  /** Milliseconds since it was last asked for. */
  idleMs: number
}

export interface PlanInput {
  serving: ModelServing
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
  /** It comes from the weight store, which bears few loads a second. */
  fromStore: boolean
}

/** Copies that models have and from which on one may go. */
interface CopyCounts {
  copies: ReadonlyMap<string, number>
  kept: ReadonlyMap<string, number>
}

/** Share of a server's time that the demand for one model may fill before another copy is loaded. */
const ADD_BUSY = 0.5
/** Share up to which one copy fewer would still do; the difference keeps copies from coming and going by turns. */
const KEEP_BUSY = 0.8
/** What a model's first copy is worth against relief for busy copies of others. */
const FIRST_COPY_WEIGHT = 3
const FIRST_COPY_VALUE = 0.02
const FORGOTTEN_MS = 30_000
const MS_PER_VICTIM_IDLE_SECOND = 30
const MAX_IDLE_SECONDS = 60
const MS_PER_SERVER_RATE = 1_500
const UNLOAD_MS = 150

/** Copies that models should have at least, and the number from which on one is too many. */
export interface CopyTargets {
  wanted: ReadonlyMap<string, number>
  kept: ReadonlyMap<string, number>
}

/** Deals the places out: to whatever gains most by one more copy, until places or gains run out. */
export function computeCopyTargets (input: PlanInput): CopyTargets {
  return { wanted: dealPlaces(input, ADD_BUSY), kept: dealPlaces(input, KEEP_BUSY) }
}

function dealPlaces (input: PlanInput, busy: number): Map<string, number> {
  const asked = input.serving.models.flatMap(({ name }) => {
    const { rate, idleMs } = input.readDemand(name)
    return idleMs > FORGOTTEN_MS ? [] : [{ name, rate }]
  })
  // Each further copy of a model gains less than the one before, so that the best places are those of the largest gains.
  const gains = asked.flatMap(({ name, rate }) => listGains(rate, input.servers.length, busy).map((gain) => ({ name, gain })))
  gains.sort((a, b) => b.gain - a.gain)
  const copies = new Map(asked.map(({ name }) => [name, 0]))
  const places = input.servers.length * countPlaces(input.serving)
  for (const { name } of gains.slice(0, places)) copies.set(name, (copies.get(name) ?? 0) + 1)
  return copies
}

/** What the first, second, ... copy of a model gains, as far as they gain anything. */
function listGains (rate: number, servers: number, busy: number): number[] {
  const gains: number[] = []
  for (let copies = 0; copies < servers; copies++) {
    const gain = copies === 0 ? FIRST_COPY_VALUE + rate * FIRST_COPY_WEIGHT : rate / copies - busy
    if (gain <= 0) break
    gains.push(gain)
  }
  return gains
}

/** The best server for one more copy of a model; undefined when no server can make room for it. */
export function planLoad (input: PlanInput, model: string, targets: CopyTargets): PlannedLoad | undefined {
  const served = findServed(input.serving, model)
  if (!served) return undefined
  const copies = countCopies(input.servers)
  let best: { load: PlannedLoad, cost: number } | undefined
  for (const server of input.servers) {
    if (server.busy || server.models.includes(model)) continue
    const victims = chooseVictims(input, server, served, { copies, kept: targets.kept })
    if (!victims) continue
    const tier = chooseTier(server, served)
    const cost = server.heldMs + tier.loadMs + victims.length * UNLOAD_MS + victims.reduce((sum, victim) => sum + rateVictim(input, victim), 0)
      + rateServer(input, server, copies) * MS_PER_SERVER_RATE
    if (!best || cost < best.cost) best = { cost, load: { server: server.id, model, victims, ...tier } }
  }
  return best?.load
}

/** Models that have fewer copies than they should, those whose copies are the busiest first. */
export function listLacking (input: PlanInput, targets: CopyTargets): string[] {
  const copies = countCopies(input.servers)
  const lacking = [...targets.wanted].filter(([model, count]) => count > (copies.get(model) ?? 0)).map(([model]) => model)
  const rateBusy = (model: string): number => input.readDemand(model).rate / Math.max(0.5, copies.get(model) ?? 0)
  return lacking.sort((a, b) => rateBusy(b) - rateBusy(a))
}

function chooseVictims (input: PlanInput, server: PlannedServer, served: ServedModel, it: CopyCounts): string[] | undefined {
  let free = input.serving.weightsMb - server.models.reduce((sum, name) => sum + (findServed(input.serving, name)?.weightsMb ?? Infinity), 0)
  const adapterMb = Math.max(0, ...input.serving.models.map((model) => model.adapterMb)) * input.serving.adapterSlots
  const needed = served.weightsMb + adapterMb
  const victims: string[] = []
  // Those with more copies than they should have go first, then those that nobody has asked for in the longest time.
  const order = [...server.models].sort((a, b) => rateSurplus(b, it) - rateSurplus(a, it) || input.readDemand(b).idleMs - input.readDemand(a).idleMs)
  for (const name of order) {
    if (free >= needed) break
    if (rateSurplus(name, it) <= 0 || server.fresh.includes(name)) continue
    victims.push(name)
    free += findServed(input.serving, name)?.weightsMb ?? 0
  }
  return free >= needed ? victims : undefined
}

/** Copies beyond those that are kept. */
function rateSurplus (model: string, it: CopyCounts): number {
  return (it.copies.get(model) ?? 0) - (it.kept.get(model) ?? 0)
}

function rateVictim (input: PlanInput, victim: string): number {
  return (MAX_IDLE_SECONDS - Math.min(MAX_IDLE_SECONDS, input.readDemand(victim).idleMs / 1000)) * MS_PER_VICTIM_IDLE_SECOND
}

function rateServer (input: PlanInput, server: PlannedServer, copies: ReadonlyMap<string, number>): number {
  return server.models.reduce((sum, model) => sum + input.readDemand(model).rate / Math.max(1, copies.get(model) ?? 1), 0)
}

function chooseTier (server: PlannedServer, served: ServedModel): { loadMs: number, fromStore: boolean } {
  if (server.inMemory.includes(served.name)) return { loadMs: served.memorySeconds * 1000, fromStore: false }
  if (server.onDisk.includes(served.name)) return { loadMs: served.diskSeconds * 1000, fromStore: false }
  return { loadMs: served.loadSeconds * 1000, fromStore: true }
}

function countPlaces (serving: ModelServing): number {
  const largest = Math.max(1, ...serving.models.map((model) => model.weightsMb))
  return Math.floor(serving.weightsMb / largest)
}

function countCopies (servers: readonly PlannedServer[]): Map<string, number> {
  const copies = new Map<string, number>()
  for (const model of servers.flatMap((server) => server.models)) copies.set(model, (copies.get(model) ?? 0) + 1)
  return copies
}

function findServed (serving: ModelServing, name: string): ServedModel | undefined {
  return serving.models.find((model) => model.name === name)
}
