import type { Plan, PlanInput } from './planTypes.js'

/** A strategy that decides which copies to load and unload next. */
export abstract class Planner {
  abstract plan (input: PlanInput): Plan
}
