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

/** Copies that models have and that they should have. */
interface CopyCounts {
  copies: ReadonlyMap<string, number>
  wanted: ReadonlyMap<string, number>
}

/** Share of a server's time that its demand should fill at most. */
const TARGET_BUSY = 0.55
const FORGOTTEN_MS = 20_000
const MS_PER_VICTIM_IDLE_SECOND = 30
const MAX_IDLE_SECONDS = 60
const MS_PER_SERVER_RATE = 1_500
const UNLOAD_MS = 150

/** Copies that each model should have: as its demand needs, in all no more than there is room for. */
export function computeWantedCopies (input: PlanInput): Map<string, number> {
  const room = input.servers.length * countPlaces(input.serving)
  const wanted = new Map<string, number>()
  for (const { name } of input.serving.models) {
    const demand = input.readDemand(name)
    if (demand.idleMs > FORGOTTEN_MS) continue
    wanted.set(name, Math.min(input.servers.length, Math.max(1, Math.ceil(demand.rate / TARGET_BUSY))))
  }
  for (let over = sumValues(wanted) - room; over > 0; over--) {
    const [largest] = [...wanted].sort(([, a], [, b]) => b - a)
    if (!largest || largest[1] <= 1) break
    wanted.set(largest[0], largest[1] - 1)
  }
  return wanted
}

/** The best server for one more copy of a model; undefined when no server can make room for it. */
export function planLoad (input: PlanInput, model: string, wanted: ReadonlyMap<string, number>): PlannedLoad | undefined {
  const served = findServed(input.serving, model)
  if (!served) return undefined
  const copies = countCopies(input.servers)
  let best: { load: PlannedLoad, cost: number } | undefined
  for (const server of input.servers) {
    if (server.busy || server.models.includes(model)) continue
    const victims = chooseVictims(input, server, served, { copies, wanted })
    if (!victims) continue
    const tier = chooseTier(server, served)
    const cost = tier.loadMs + victims.length * UNLOAD_MS + victims.reduce((sum, victim) => sum + rateVictim(input, victim), 0)
      + rateServer(input, server, copies) * MS_PER_SERVER_RATE
    if (!best || cost < best.cost) best = { cost, load: { server: server.id, model, victims, ...tier } }
  }
  return best?.load
}

/** Models that have fewer copies than they should, those with the greatest lack first. */
export function listLacking (input: PlanInput, wanted: ReadonlyMap<string, number>): string[] {
  const copies = countCopies(input.servers)
  const lacking = [...wanted].map(([model, count]) => ({ model, lack: count - (copies.get(model) ?? 0), count })).filter(({ lack }) => lack > 0)
  lacking.sort((a, b) => b.lack / b.count - a.lack / a.count)
  return lacking.map(({ model }) => model)
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
    if (rateSurplus(name, it) <= 0) continue
    victims.push(name)
    free += findServed(input.serving, name)?.weightsMb ?? 0
  }
  return free >= needed ? victims : undefined
}

/** Copies beyond what is wanted; the last copy of a model that somebody asks for is never surplus. */
function rateSurplus (model: string, it: CopyCounts): number {
  return (it.copies.get(model) ?? 0) - (it.wanted.get(model) ?? 0)
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

function sumValues (values: ReadonlyMap<string, number>): number {
  return [...values.values()].reduce((sum, value) => sum + value, 0)
}
