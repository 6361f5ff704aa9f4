import type { ModelDemand } from './DemandTracker.js'

/** Time without a request after which a model counts as unused. */
export const UNUSED_AFTER_MS = 5_000

/** Whether a model has had a recent request, or has one in flight or waiting. */
export function isUsed ({ idleMs, inFlight }: Pick<ModelDemand, 'idleMs' | 'inFlight'>, waiting: number): boolean {
  return idleMs < UNUSED_AFTER_MS || inFlight > 0 || waiting > 0
}
