import type { ModelDemand } from './DemandTracker.js'

/** Share of a batch up to which requests find a place at once; above it arrivals that come in clumps meet a full server. */
const FULL_SHARE = 0.6
/**
 * Requests that an evenly loaded system is thought to lose at a full batch for reasons other than places (longer reads beside others, a
 * crash that takes many at once), as a share. It spreads load over servers that all have room.
 */
const CROWDING_SHARE = 0.05

/** What one server is asked for, on the assumption that each model's requests go evenly to its copies. */
interface ServerShare {
  requestsPerSecond: number
  /** Places that they hold at a time. */
  places: number
}

/** Which server holds which models, and how many requests a second that costs. Asking for a change costs as much as the copies it touches. */
export class Allocation {
  private readonly holders = new Map<string, Set<string>>()
  private readonly shares = new Map<string, ServerShare>()
  /** The model that each server is loading, which it counts as holding though nobody is served by it yet. */
  private readonly loading: ReadonlyMap<string, string | undefined>

  constructor (
    private readonly batchSlots: number,
    private readonly readDemand: (model: string) => ModelDemand,
    servers: readonly { id: string, models: readonly string[], loading?: string }[],
  ) {
    for (const { id } of servers) this.shares.set(id, { requestsPerSecond: 0, places: 0 })
    for (const { id, models } of servers) {
      for (const model of models) this.findHolders(model).add(id)
    }
    this.loading = new Map(servers.map(({ id, loading }) => [id, loading]))
    for (const [model, holders] of this.holders) this.addShares(model, [...holders], 1 / holders.size)
  }

  countCopies (model: string): number {
    return this.holders.get(model)?.size ?? 0
  }

  /** Requests a second that are lost at the servers of a model for want of places, or because no server has it. */
  computeNeed (model: string): number {
    const { requestsPerSecond } = this.readDemand(model)
    const holders = this.holders.get(model)
    if (!holders || holders.size === 0) return requestsPerSecond
    const lost = [...holders].reduce((sum, id) => sum + rateLost(this.readShare(id), this.batchSlots), 0)
    return requestsPerSecond * lost / holders.size
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
    this.addShares(model, [...holders], -1 / Math.max(1, holders.size))
    holders.add(server)
    this.addShares(model, [...holders], 1 / holders.size)
  }

  remove (model: string, server: string): void {
    const holders = this.findHolders(model)
    this.addShares(model, [...holders], -1 / Math.max(1, holders.size))
    holders.delete(server)
    this.addShares(model, [...holders], 1 / Math.max(1, holders.size))
  }

  /** What all servers together cost less when a model is at other servers than now. */
  private compareCosts (model: string, before: readonly string[], after: readonly string[]): number {
    const touched = new Set([...before, ...after])
    const { requestsPerSecond } = this.readDemand(model)
    const places = this.computeAllPlaces(model)
    let saved = 0
    for (const id of touched) {
      const share = this.readShare(id)
      const part = (after.includes(id) ? 1 / after.length : 0) - (before.includes(id) ? 1 / before.length : 0)
      const changed = { requestsPerSecond: share.requestsPerSecond + requestsPerSecond * part, places: share.places + places * part }
      saved += computeCost(share, this.batchSlots) - computeCost(changed, this.batchSlots)
    }
    return saved
  }

  private addShares (model: string, servers: readonly string[], part: number): void {
    const { requestsPerSecond } = this.readDemand(model)
    const places = this.computeAllPlaces(model)
    for (const id of servers) {
      const share = this.readShare(id)
      this.shares.set(id, { requestsPerSecond: share.requestsPerSecond + requestsPerSecond * part, places: share.places + places * part })
    }
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

/** Share of a server's requests that find no place, and a little for crowding. */
function rateLost (share: ServerShare, batchSlots: number): number {
  const full = batchSlots * FULL_SHARE
  const lost = share.places > full ? 1 - full / share.places : 0
  return lost + CROWDING_SHARE * Math.min(1, share.places / batchSlots) ** 2
}

/** Requests a second that a server loses. */
function computeCost (share: ServerShare, batchSlots: number): number {
  return Math.max(0, share.requestsPerSecond) * rateLost(share, batchSlots)
}
