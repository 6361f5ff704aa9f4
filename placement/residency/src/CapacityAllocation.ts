import type { ModelDemand } from './DemandTracker.js'
import type { CopyCapacity } from './CopyCapacity.js'
import { BACKLOG_DRAIN_MS } from './gains.js'
import type { PlannedServer } from './planResidency.js'

/** Rounds in which each model's requests move to its less utilized copies; the split changes little after the third. */
const BALANCING_ROUNDS = 3
/** Share of the requests of an unloaded copy that count as lost although other copies have room: their cached prefixes are gone. */
const MOVED_LOSS_SHARE = 0.05

/** A model on a server. */
export interface ModelCopy {
  server: string
  /** Requests per second that it serves in time when its server serves nothing else. */
  capacity: number
  /** Requests per second that are routed to it. */
  rate: number
  /** Milliseconds until its load ends; 0 when it is loaded. */
  readyMs: number
}

/** How the demand for the models is expected to be split over their copies. A server's utilization of 1 means that it just serves its requests in time. */
export class CapacityAllocation {
  private readonly copies = new Map<string, ModelCopy[]>()
  private readonly utilizations = new Map<string, number>()

  constructor (servers: readonly PlannedServer[], private readonly capacity: CopyCapacity, private readonly readDemand: (model: string) => ModelDemand) {
    for (const server of servers) {
      this.utilizations.set(server.id, 0)
      for (const model of server.models) this.addCopy(model, server)
    }
    const byAlternatives = [...this.copies].sort(([, a], [, b]) => a.length - b.length)
    for (let round = 0; round < BALANCING_ROUNDS; round++) {
      for (const [model, copies] of byAlternatives) this.balance(this.readDemand(model).requestsPerSecond, copies)
    }
  }

  listCopies (model: string): readonly ModelCopy[] {
    return this.copies.get(model) ?? []
  }

  /** Requests per second for a model that its copies don't serve in time. */
  computeUnserved (model: string): number {
    const served = this.listCopies(model).reduce((sum, copy) => sum + this.computeServed(copy), 0)
    return Math.max(0, this.readDemand(model).requestsPerSecond - served)
  }

  /** Requests per second that a copy serves in time. */
  computeServed (copy: ModelCopy): number {
    return copy.rate / Math.max(1, this.readUtilization(copy.server))
  }

  /** Requests per second that a copy could serve in time beyond the present ones. */
  computeCopySpare (copy: ModelCopy): number {
    return copy.capacity * Math.max(0, 1 - this.readUtilization(copy.server))
  }

  /** Requests in flight that a copy serves in time: those that it begins within `BACKLOG_DRAIN_MS`, or holds if that takes longer. */
  computeHeld (model: string, copy: ModelCopy): number {
    const heldMs = Math.max(BACKLOG_DRAIN_MS, this.capacity.estimateHeldMs(this.readDemand(model), copy.server))
    return (this.computeServed(copy) + this.computeCopySpare(copy)) * heldMs / 1000
  }

  /** Requests in flight, out of a number for the model, that its other copies don't serve in time if it is unloaded from a server. */
  computeInFlightLoss (model: string, server: string, inFlight: number): number {
    const copy = this.findCopy(model, server)
    if (!copy) return 0
    const held = this.computeHeld(model, copy)
    if (this.isLastCopy(model, server)) return Math.min(inFlight, held)
    const total = this.listCopies(model).reduce((sum, it) => sum + this.computeHeld(model, it), 0)
    return Math.min(inFlight, total) - Math.min(inFlight, total - held)
  }

  /** Requests per second that the copies of a model could serve in time beyond the present ones. */
  computeSpare (model: string): number {
    return this.listCopies(model).reduce((sum, copy) => sum + this.computeCopySpare(copy), 0)
  }

  /** Requests per second that a new copy could serve in time once the victims are unloaded. */
  computeRoom (capacity: number, server: string, victims: readonly string[]): number {
    let utilization = this.readUtilization(server)
    for (const victim of victims) {
      const copy = this.findCopy(victim, server)
      if (copy) utilization -= copy.rate / copy.capacity
    }
    return capacity * Math.min(1, Math.max(0, 1 - utilization))
  }

  /** Requests per second lost by unloading a model from a server, as far as its other copies can't take them over. */
  computeLoss (model: string, server: string): number {
    const copy = this.findCopy(model, server)
    if (!copy) return 0
    const served = this.computeServed(copy)
    if (this.isLastCopy(model, server)) return served
    const spare = this.computeSpare(model) - this.computeCopySpare(copy)
    return Math.max(MOVED_LOSS_SHARE * served, served - spare)
  }

  /** Whether no other copy of the model is loaded; one that is still loading serves no requests. */
  isLastCopy (model: string, server: string): boolean {
    return this.listCopies(model).every((copy) => copy.server === server || copy.readyMs > 0)
  }

  /** Requests per second routed to the copy of a model on a server. */
  readRate (model: string, server: string): number {
    return this.findCopy(model, server)?.rate ?? 0
  }

  private addCopy (model: string, server: PlannedServer): void {
    const copies = this.copies.get(model) ?? []
    const capacity = this.capacity.compute(this.readDemand(model), server)
    copies.push({ server: server.id, capacity, rate: 0, readyMs: server.loading === model ? server.busyMs : 0 })
    this.copies.set(model, copies)
  }

  /** Splits a model's requests so that the utilizations of its servers are as equal as possible. */
  private balance (requestsPerSecond: number, copies: readonly ModelCopy[]): void {
    for (const copy of copies) this.addUtilization(copy, -1)
    const sorted = [...copies].sort((a, b) => this.readUtilization(a.server) - this.readUtilization(b.server))
    let capacity = 0
    let used = 0
    let level = 0
    for (const [at, copy] of sorted.entries()) {
      const utilization = this.readUtilization(copy.server)
      if (at > 0 && utilization >= level) break
      capacity += copy.capacity
      used += copy.capacity * utilization
      level = (requestsPerSecond + used) / capacity
    }
    for (const copy of copies) {
      copy.rate = copy.capacity * Math.max(0, level - this.readUtilization(copy.server))
      this.addUtilization(copy, 1)
    }
  }

  private addUtilization (copy: ModelCopy, sign: 1 | -1): void {
    this.utilizations.set(copy.server, Math.max(0, this.readUtilization(copy.server) + sign * copy.rate / copy.capacity))
  }

  private findCopy (model: string, server: string): ModelCopy | undefined {
    return this.copies.get(model)?.find((copy) => copy.server === server)
  }

  private readUtilization (server: string): number {
    return this.utilizations.get(server) ?? 0
  }
}
