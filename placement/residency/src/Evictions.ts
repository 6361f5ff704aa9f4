import type { ModelServing, ServedModel } from '@pulleystack/config.routes'
import type { CapacityAllocation } from './CapacityAllocation.js'
import type { ModelDemand } from './DemandTracker.js'
import { DEMAND_HORIZON_MS } from './gains.js'
import { UNUSED_AFTER_MS, isUsed } from './isUsed.js'
import type { PlannedServer } from './planResidency.js'
import type { SlowCopies } from './SlowCopies.js'
import type { WaitingStake } from './WaitingStake.js'

/** Time from an unload order to the report of its completion when no request is running. */
const MIN_UNLOAD_MS = 300
/** Requests that the last copy of a model in use is worth beyond its present rate: without it, the next request waits for a load. */
const LAST_COPY_LOSS = 1
/** Requests that a copy of a model with several copies is worth in the first seconds of demand: about one second at its capacity. */
const PRIOR_COPY_LOSS = 10
/** Two intervals of demand reports; before, a new holder can't tell which models are in use, and unloads none. */
export const MIN_DEMAND_KNOWN_MS = 700
/** Cost in requests of any unload, so that free memory is used first. */
const UNLOAD_COST = 0.05

/** Models to unload from a server. */
export interface Eviction {
  victims: readonly string[]
  /** Requests lost within the planning horizon. */
  cost: number
  /** Milliseconds until the memory is free, once the first unload is ordered. */
  unloadMs: number
  /** Nobody has used the victims for a while. */
  isUnused: boolean
}

interface Victim {
  name: string
  weightsMb: number
  cost: number
  idleMs: number
  isUnused: boolean
}

export interface EvictionsOptions {
  serving: ModelServing
  models: ReadonlyMap<string, ServedModel>
  allocation: CapacityAllocation
  slowCopies: SlowCopies
  readDemand: (model: string) => ModelDemand
  listWaiting: (model: string) => readonly WaitingStake[]
  /** Milliseconds for which demand has been collected. */
  demandKnownMs: number
  /** Milliseconds since the first request for any model. */
  firstDemandMs: number
}

/** Chooses which models to unload for a load. The costs of each server's models are computed once in a plan. */
export class Evictions {
  private readonly victimsByServer = new Map<string, readonly Victim[]>()
  /** Megabytes reserved for adapters on each server. */
  private readonly adapterMb: number

  constructor (private readonly opts: EvictionsOptions) {
    const { models, adapterSlots } = opts.serving
    this.adapterMb = Math.max(0, ...models.map((model) => model.adapterMb)) * adapterSlots
  }

  /** Chooses the cheapest models to unload until there is room; undefined when there can't be enough. */
  choose (server: PlannedServer, served: ServedModel): Eviction | undefined {
    let missingMb = served.weightsMb + this.adapterMb - this.computeFreeMb(server, served)
    const victims: Victim[] = []
    for (const victim of missingMb > 0 ? this.listVictims(server) : []) {
      victims.push(victim)
      missingMb -= victim.weightsMb
      if (missingMb <= 0) break
    }
    if (missingMb > 0) return undefined
    const needed = discardNeedless(victims, -missingMb)
    return {
      victims: needed.map(({ name }) => name),
      cost: needed.reduce((sum, { cost }) => sum + cost, 0),
      unloadMs: needed.reduce((sum, { name }) => sum + this.estimateUnloadMs(server, name), 0),
      isUnused: needed.every(({ isUnused }) => isUnused),
    }
  }

  /** A model whose order got no answer may still be loaded and keeps its memory. */
  private computeFreeMb (server: PlannedServer, served: ServedModel): number {
    const { serving, models } = this.opts
    const used = [...server.models, ...(server.reserved ?? []).filter((name) => name !== served.name)]
    return serving.weightsMb - used.reduce((sum, name) => sum + (models.get(name)?.weightsMb ?? Infinity), 0)
  }

  private listVictims (server: PlannedServer): readonly Victim[] {
    if (this.opts.demandKnownMs < MIN_DEMAND_KNOWN_MS) return []
    const cached = this.victimsByServer.get(server.id)
    if (cached) return cached
    const victims = server.models
      .filter((name) => name !== server.loading && !server.recentlyLoaded.includes(name))
      .map((name) => this.describeVictim(server, name))
    // Among equal costs, the least recently used model comes first.
    victims.sort((a, b) => a.cost - b.cost || b.idleMs - a.idleMs)
    this.victimsByServer.set(server.id, victims)
    return victims
  }

  /** A model with several copies was in demand before; until its present demand is known, only much demand for another one displaces a copy. */
  private computePriorLoss (name: string): number {
    const isDemandKnown = this.opts.firstDemandMs >= UNUSED_AFTER_MS
    return isDemandKnown || this.opts.allocation.listCopies(name).length <= 1 ? 0 : PRIOR_COPY_LOSS
  }

  private describeVictim (server: PlannedServer, name: string): Victim {
    const { allocation, slowCopies, models, readDemand, listWaiting, demandKnownMs } = this.opts
    const demand = readDemand(name)
    const waiting = listWaiting(name).length
    const isUnused = demandKnownMs >= UNUSED_AFTER_MS && !isUsed(demand, waiting)
    const lostPerSecond = allocation.computeLoss(name, server.id) + slowCopies.computeLoss(name, server.id)
    const inFlightLoss = allocation.computeInFlightLoss(name, server.id, Math.max(demand.inFlight, waiting))
    const lastCopyLoss = !isUnused && allocation.isLastCopy(name, server.id) ? LAST_COPY_LOSS : 0
    const cost = UNLOAD_COST + lostPerSecond * DEMAND_HORIZON_MS / 1000 + inFlightLoss + lastCopyLoss + this.computePriorLoss(name)
    return { name, weightsMb: models.get(name)?.weightsMb ?? 0, cost, idleMs: demand.idleMs, isUnused }
  }

  /** An unload waits for the longest running stream, which grows with the number of streams. */
  private estimateUnloadMs (server: PlannedServer, victim: string): number {
    const { heldMs } = this.opts.readDemand(victim)
    const streams = this.opts.allocation.readRate(victim, server.id) * heldMs / 1000
    return MIN_UNLOAD_MS + Math.log1p(streams) * heldMs
  }
}

/** Drops victims, the costliest first, whose memory is not needed. */
function discardNeedless (victims: readonly Victim[], spareMb: number): Victim[] {
  let leftMb = spareMb
  const needed: Victim[] = []
  for (const victim of [...victims].reverse()) {
    if (victim.weightsMb <= leftMb) leftMb -= victim.weightsMb
    else needed.push(victim)
  }
  return needed.reverse()
}
