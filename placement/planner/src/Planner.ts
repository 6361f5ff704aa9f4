import type { Plan, PlanInput } from './planTypes.js'

/** A way to decide what is loaded and unloaded next. */
export abstract class Planner {
  abstract plan (input: PlanInput): Plan
}
