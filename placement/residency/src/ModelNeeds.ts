import type { ServedModel } from '@pulleystack/config.routes'
import type { CapacityAllocation } from './CapacityAllocation.js'
import type { ModelDemand } from './DemandTracker.js'
import { isUsed } from './isUsed.js'
import type { SlowCopies } from './SlowCopies.js'
import { listLeftWaiting } from './waitingGain.js'
import type { WaitingStake } from './WaitingStake.js'

/** Share of a model's requests that its copies may fail to serve before another is planned; estimates of demand vary by more from plan to plan. */
const TOLERATED_SHARE = 0.05

/** What the copies of a model, including those being loaded, don't serve in time. */
export interface ModelNeed {
  served: ServedModel
  /** Requests per second. */
  unservedPerSecond: number
  /** Requests per second assumed late because all copies are on slow servers. */
  slowPerSecond: number
  /** Requests in flight beyond those that the copies begin within `BACKLOG_DRAIN_MS`, without those in `waiting`. */
  backlog: number
  /** Requests that wait for a load, most urgent first, without those that the copies begin in time. */
  waiting: readonly WaitingStake[]
  /** The model is in use and has no copy. */
  isMissing: boolean
}

export interface ModelNeedsOptions {
  allocation: CapacityAllocation
  slowCopies: SlowCopies
  readDemand: (model: string) => ModelDemand
  listWaiting: (model: string) => readonly WaitingStake[]
}

/** Computes for which models a load could gain anything. */
export class ModelNeeds {
  constructor (private readonly opts: ModelNeedsOptions) {}

  /** Undefined when another copy would gain nothing. */
  compute (served: ServedModel): ModelNeed | undefined {
    const { allocation, slowCopies, readDemand, listWaiting } = this.opts
    const { name } = served
    const demand = readDemand(name)
    const allWaiting = listWaiting(name)
    const copies = allocation.listCopies(name)
    const hasCopy = copies.length > 0
    const toleratedPerSecond = hasCopy ? demand.requestsPerSecond * TOLERATED_SHARE : 0
    const need = {
      served,
      unservedPerSecond: Math.max(0, allocation.computeUnserved(name) - toleratedPerSecond),
      slowPerSecond: slowCopies.computeLate(name),
      backlog: this.computeBacklog(name, allWaiting.length),
      waiting: listLeftWaiting(allWaiting, copies.map((copy) => ({ readyMs: copy.readyMs, perSecond: allocation.computeCopySpare(copy) }))),
      isMissing: !hasCopy && isUsed(demand, allWaiting.length),
    }
    const hasNeed = need.unservedPerSecond > 0 || need.slowPerSecond > 0 || need.backlog > 0 || need.waiting.length > 0 || need.isMissing
    return hasNeed ? need : undefined
  }

  /** Two requests per second with 60 in flight need copies for the 60: demand that is not served stays in flight. */
  private computeBacklog (model: string, waiting: number): number {
    const { allocation, readDemand } = this.opts
    const held = allocation.listCopies(model).reduce((sum, copy) => sum + allocation.computeHeld(model, copy), 0)
    return Math.max(0, readDemand(model).inFlight - waiting - held)
  }
}
