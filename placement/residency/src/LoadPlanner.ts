import type { PaceEstimate } from '@pulleystack/routing.pace'
import type { PlanInput, PlannedLoad } from './planResidency.js'
import type { WaitingStake } from './WaitingStake.js'

/** What a planner may use beside demand and servers. */
export interface LoadPlannerInput extends PlanInput {
  /** Pace of a server; undefined when it has not been measured. */
  readPace: (server: string) => PaceEstimate | undefined
  /** Requests that wait for a load of the model. */
  listWaiting: (model: string) => readonly WaitingStake[]
  /** Milliseconds for which this holder has collected demand; infinite by default. */
  demandKnownMs?: number
  /** Milliseconds since the first request for any model; undefined before. */
  firstDemandMs?: number | undefined
  /** Restricts the plan to one model. */
  onlyModel?: string
}

/** Chooses the next load of a service. */
export abstract class LoadPlanner {
  /** The load that gains the most; undefined when none gains enough. `mayUseStore` is false while the weight store allows no further load. */
  abstract planLoad (input: LoadPlannerInput, mayUseStore: boolean): PlannedLoad | undefined
}
