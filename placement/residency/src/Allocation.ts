import type { ModelDemand } from './DemandTracker.js'

/** Share of a batch that can be planned for; beyond it, bursts find no free slot. */
const USABLE_BATCH_SHARE = 0.6
/** Share of requests assumed lost at a full batch despite free slots, as in a crash; it spreads load over servers that all have room. */
const CROWDING_LOSS_SHARE = 0.05

/** What the allocation needs to know of a server. */
export interface AllocatedServer {
  id: string
  models: readonly string[]
  loading?: string
  /** Limit in requests per second; undefined when the server advertises none. */
  limitPerSecond?: number | undefined
}

/** Expected load of one server, with each model's requests split as in `splitRequests`. */
interface ServerLoad {
  requestsPerSecond: number
  /** Slots occupied at a time. */
  slots: number
}

/** Share of a model's requests that is routed to a server. */
type ShareOf = (server: string) => number

/**
 * Which server holds which models, and how many requests per second are lost as a result. Evaluating a change takes time proportional to the
 * number of copies of the model.
 */
export class Allocation {
  private readonly serversByModel = new Map<string, Set<string>>()
  private readonly loads = new Map<string, ServerLoad>()
  /** The model that each server is loading; it counts as held although it serves no requests yet. */
  private readonly loadingModels: ReadonlyMap<string, string | undefined>
  /** Limits in requests per second, by server that advertises one. */
  private readonly limits = new Map<string, number>()

  constructor (
    private readonly batchSlots: number,
    private readonly readDemand: (model: string) => ModelDemand,
    servers: readonly AllocatedServer[],
  ) {
    for (const { id, limitPerSecond } of servers) {
      this.loads.set(id, { requestsPerSecond: 0, slots: 0 })
      if (limitPerSecond !== undefined) this.limits.set(id, limitPerSecond)
    }
    for (const { id, models } of servers) {
      for (const model of models) this.findServers(model).add(id)
    }
    this.loadingModels = new Map(servers.map(({ id, loading }) => [id, loading]))
    for (const [model, holdingServers] of this.serversByModel) this.addLoad(model, [...holdingServers], 1)
  }

  countCopies (model: string): number {
    return this.serversByModel.get(model)?.size ?? 0
  }

  /** Requests per second for a model that are lost for lack of slots or because no server has the model. */
  computeShortfall (model: string): number {
    const { requestsPerSecond } = this.readDemand(model)
    const servers = this.serversByModel.get(model)
    if (!servers || servers.size === 0) return requestsPerSecond
    const shareOf = this.splitRequests(model, [...servers])
    const lostShare = [...servers].reduce((sum, id) => sum + shareOf(id) * this.computeLostShare(id, this.readLoad(id)), 0)
    return requestsPerSecond * lostShare
  }

  /** Requests per second saved by adding a copy of a model on a server. */
  computeGain (model: string, server: string): number {
    const servers = [...this.findServers(model)]
    const unserved = servers.length === 0 ? this.readDemand(model).requestsPerSecond : 0
    return unserved + this.computeSavings(model, servers, [...servers, server])
  }

  /** Requests per second lost by unloading a model from a server. */
  computeLoss (model: string, server: string): number {
    const servers = [...this.findServers(model)]
    const remaining = servers.filter((id) => id !== server)
    // A copy that is still loading serves no requests.
    const isLast = remaining.every((id) => this.loadingModels.get(id) === model)
    const unserved = isLast ? this.readDemand(model).requestsPerSecond : 0
    return unserved - this.computeSavings(model, servers, remaining)
  }

  /** Expected slots occupied by a model's requests on one of its servers. */
  computeSlotsPerCopy (model: string): number {
    return this.readDemand(model).slots / Math.max(1, this.countCopies(model))
  }

  add (model: string, server: string): void {
    const servers = this.findServers(model)
    this.addLoad(model, [...servers], -1)
    servers.add(server)
    this.addLoad(model, [...servers], 1)
  }

  remove (model: string, server: string): void {
    const servers = this.findServers(model)
    this.addLoad(model, [...servers], -1)
    servers.delete(server)
    this.addLoad(model, [...servers], 1)
  }

  /** Requests per second saved over all servers by moving a model from one set of servers to another. */
  private computeSavings (model: string, before: readonly string[], after: readonly string[]): number {
    const affected = new Set([...before, ...after])
    const { requestsPerSecond } = this.readDemand(model)
    const slots = this.computeTotalSlots(model)
    const shareBefore = this.splitRequests(model, before)
    const shareAfter = this.splitRequests(model, after)
    let saved = 0
    for (const id of affected) {
      const load = this.readLoad(id)
      const shareChange = (after.includes(id) ? shareAfter(id) : 0) - (before.includes(id) ? shareBefore(id) : 0)
      const changedLoad = { requestsPerSecond: load.requestsPerSecond + requestsPerSecond * shareChange, slots: load.slots + slots * shareChange }
      saved += this.computeLostRequests(id, load) - this.computeLostRequests(id, changedLoad)
    }
    return saved
  }

  /** Adds a model's requests to the load of its servers, or subtracts them when `sign` is -1. */
  private addLoad (model: string, servers: readonly string[], sign: 1 | -1): void {
    const { requestsPerSecond } = this.readDemand(model)
    const slots = this.computeTotalSlots(model)
    const shareOf = this.splitRequests(model, servers)
    for (const id of servers) {
      const load = this.readLoad(id)
      const share = sign * shareOf(id)
      this.loads.set(id, { requestsPerSecond: load.requestsPerSecond + requestsPerSecond * share, slots: load.slots + slots * share })
    }
  }

  /** Splits a model's requests evenly; a server with a limit gets no more than its limit while a server without one can take the rest. */
  private splitRequests (model: string, servers: readonly string[]): ShareOf {
    const evenShare = 1 / Math.max(1, servers.length)
    const limited = this.limits.size === 0 ? [] : servers.filter((id) => this.limits.has(id))
    if (limited.length === 0 || limited.length === servers.length) return () => evenShare
    const { requestsPerSecond } = this.readDemand(model)
    const limitedShares = new Map(limited.map((id) => [id, Math.min(evenShare, this.readLimit(id) / Math.max(requestsPerSecond, Number.MIN_VALUE))]))
    const limitedTotal = [...limitedShares.values()].reduce((sum, share) => sum + share, 0)
    const otherShare = (1 - limitedTotal) / (servers.length - limited.length)
    return (id) => limitedShares.get(id) ?? otherShare
  }

  /** Share of a server's requests that find no slot or exceed its limit, plus a small penalty for a busy batch. */
  private computeLostShare (id: string, { requestsPerSecond, slots }: ServerLoad): number {
    const usableSlots = this.batchSlots * USABLE_BATCH_SHARE
    const withoutSlot = slots > usableSlots ? 1 - usableSlots / slots : 0
    const limit = this.readLimit(id)
    const overLimit = requestsPerSecond > limit ? 1 - limit / requestsPerSecond : 0
    return Math.max(withoutSlot, overLimit) + CROWDING_LOSS_SHARE * Math.min(1, slots / this.batchSlots) ** 2
  }

  /** Requests per second lost at a server. */
  private computeLostRequests (id: string, load: ServerLoad): number {
    return Math.max(0, load.requestsPerSecond) * this.computeLostShare(id, load)
  }

  private readLimit (server: string): number {
    return this.limits.get(server) ?? Infinity
  }

  /** Slots needed for a model's requests over all servers: the slots they occupy or, if more, the batch capacity that their prefill takes up. */
  private computeTotalSlots (model: string): number {
    const { slots, prefillMsPerSecond } = this.readDemand(model)
    return Math.max(slots, prefillMsPerSecond / 1000 * this.batchSlots)
  }

  private readLoad (server: string): ServerLoad {
    return this.loads.get(server) ?? { requestsPerSecond: 0, slots: 0 }
  }

  private findServers (model: string): Set<string> {
    const present = this.serversByModel.get(model)
    if (present) return present
    const created = new Set<string>()
    this.serversByModel.set(model, created)
    return created
  }
}
