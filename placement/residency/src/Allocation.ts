import type { ModelDemand } from './DemandTracker.js'

/** Share of a batch up to which requests find a place at once; above it arrivals that come in clumps meet a full server. */
const FULL_SHARE = 0.6
/**
 * Requests that an evenly loaded system is thought to lose at a full batch for reasons other than places (longer reads beside others, a
 * crash that takes many at once), as a share. It spreads load over servers that all have room.
 */
const CROWDING_SHARE = 0.05

/** A server as its share of the requests depends on it. */
export interface AllocatedServer {
  id: string
  models: readonly string[]
  loading?: string
  /** Requests a second that it takes; undefined when it names no limit. */
  limitPerSecond?: number | undefined
}

/** What one server is asked for, on the assumption that each model's requests go evenly to its copies, but for what a limit leaves to the others. */
interface ServerShare {
  requestsPerSecond: number
  /** Places that they hold at a time. */
  places: number
}

/** The part of a model's requests that goes to one of its servers. */
type PartOf = (server: string) => number

/** Which server holds which models, and how many requests a second that costs. Asking for a change costs as much as the copies it touches. */
export class Allocation {
  private readonly holders = new Map<string, Set<string>>()
  private readonly shares = new Map<string, ServerShare>()
  /** The model that each server is loading, which it counts as holding though nobody is served by it yet. */
  private readonly loading: ReadonlyMap<string, string | undefined>
  /** Requests a second that servers take which name a limit. */
  private readonly limits = new Map<string, number>()

  constructor (
    private readonly batchSlots: number,
    private readonly readDemand: (model: string) => ModelDemand,
    servers: readonly AllocatedServer[],
  ) {
    for (const { id, limitPerSecond } of servers) {
      this.shares.set(id, { requestsPerSecond: 0, places: 0 })
      if (limitPerSecond !== undefined) this.limits.set(id, limitPerSecond)
    }
    for (const { id, models } of servers) {
      for (const model of models) this.findHolders(model).add(id)
    }
    this.loading = new Map(servers.map(({ id, loading }) => [id, loading]))
    for (const [model, holders] of this.holders) this.addShares(model, [...holders], 1)
  }

  countCopies (model: string): number {
    return this.holders.get(model)?.size ?? 0
  }

  /** Requests a second that are lost at the servers of a model for want of places, or because no server has it. */
  computeNeed (model: string): number {
    const { requestsPerSecond } = this.readDemand(model)
    const holders = this.holders.get(model)
    if (!holders || holders.size === 0) return requestsPerSecond
    const partOf = this.deal(model, [...holders])
    const lost = [...holders].reduce((sum, id) => sum + partOf(id) * this.rateLost(id, this.readShare(id)), 0)
    return requestsPerSecond * lost
  }

  /** Requests a second that are saved by a further copy of a model at a server. */
  computeGain (model: string, server: string): number {
    const holders = [...this.findHolders(model)]
    const unserved = holders.length === 0 ? this.readDemand(model).requestsPerSecond : 0
    return unserved + this.compareCosts(model, holders, [...holders, server])
  }

  /** Requests a second that are lost when a server drops a model. */
  computeLoss (model: string, server: string): number {
    const holders = [...this.findHolders(model)]
    const left = holders.filter((id) => id !== server)
    // A copy that is on its way serves nobody for seconds.
    const isLast = left.every((id) => this.loading.get(id) === model)
    const unserved = isLast ? this.readDemand(model).requestsPerSecond : 0
    return unserved - this.compareCosts(model, holders, left)
  }

  /** Places that the requests for a model likely hold at one of its servers. */
  computePlaces (model: string): number {
    return this.readDemand(model).places / Math.max(1, this.countCopies(model))
  }

  add (model: string, server: string): void {
    const holders = this.findHolders(model)
    this.addShares(model, [...holders], -1)
    holders.add(server)
    this.addShares(model, [...holders], 1)
  }

  remove (model: string, server: string): void {
    const holders = this.findHolders(model)
    this.addShares(model, [...holders], -1)
    holders.delete(server)
    this.addShares(model, [...holders], 1)
  }

  /** What all servers together cost less when a model is at other servers than now. */
  private compareCosts (model: string, before: readonly string[], after: readonly string[]): number {
    const touched = new Set([...before, ...after])
    const { requestsPerSecond } = this.readDemand(model)
    const places = this.computeAllPlaces(model)
    const partBefore = this.deal(model, before)
    const partAfter = this.deal(model, after)
    let saved = 0
    for (const id of touched) {
      const share = this.readShare(id)
      const part = (after.includes(id) ? partAfter(id) : 0) - (before.includes(id) ? partBefore(id) : 0)
      const changed = { requestsPerSecond: share.requestsPerSecond + requestsPerSecond * part, places: share.places + places * part }
      saved += this.computeCost(id, share) - this.computeCost(id, changed)
    }
    return saved
  }

  /** Adds a model's requests to what its servers are asked for, or takes them away (`sign` -1). */
  private addShares (model: string, servers: readonly string[], sign: 1 | -1): void {
    const { requestsPerSecond } = this.readDemand(model)
    const places = this.computeAllPlaces(model)
    const partOf = this.deal(model, servers)
    for (const id of servers) {
      const share = this.readShare(id)
      const part = sign * partOf(id)
      this.shares.set(id, { requestsPerSecond: share.requestsPerSecond + requestsPerSecond * part, places: share.places + places * part })
    }
  }

  /** How a model's requests are dealt to its servers: evenly, but one that names a limit gets no more than that while another one is there for the rest. */
  private deal (model: string, servers: readonly string[]): PartOf {
    const even = 1 / Math.max(1, servers.length)
    const limited = this.limits.size === 0 ? [] : servers.filter((id) => this.limits.has(id))
    if (limited.length === 0 || limited.length === servers.length) return () => even
    const { requestsPerSecond } = this.readDemand(model)
    const parts = new Map(limited.map((id) => [id, Math.min(even, this.readLimit(id) / Math.max(requestsPerSecond, Number.MIN_VALUE))]))
    const dealt = [...parts.values()].reduce((sum, part) => sum + part, 0)
    const rest = (1 - dealt) / (servers.length - limited.length)
    return (id) => parts.get(id) ?? rest
  }

  /** Share of a server's requests that find no place, or are beyond its limit, and a little for crowding. */
  private rateLost (id: string, { requestsPerSecond, places }: ServerShare): number {
    const full = this.batchSlots * FULL_SHARE
    const lost = places > full ? 1 - full / places : 0
    const limit = this.readLimit(id)
    const beyond = requestsPerSecond > limit ? 1 - limit / requestsPerSecond : 0
    return Math.max(lost, beyond) + CROWDING_SHARE * Math.min(1, places / this.batchSlots) ** 2
  }

  /** Requests a second that a server loses. */
  private computeCost (id: string, share: ServerShare): number {
    return Math.max(0, share.requestsPerSecond) * this.rateLost(id, share)
  }

  private readLimit (server: string): number {
    return this.limits.get(server) ?? Infinity
  }

  /** Places that the requests hold, or those that a server full of streams would have in the time that it spends reading their prompts. */
  private computeAllPlaces (model: string): number {
    const { places, readingMs } = this.readDemand(model)
    return Math.max(places, readingMs / 1000 * this.batchSlots)
  }

  private readShare (server: string): ServerShare {
    return this.shares.get(server) ?? { requestsPerSecond: 0, places: 0 }
  }

  private findHolders (model: string): Set<string> {
    const present = this.holders.get(model)
    if (present) return present
    const created = new Set<string>()
    this.holders.set(model, created)
    return created
  }
}
