import type { Denial } from './Denial.js'
import { computeReleaseIntervalMs, type LedgerState } from './LedgerState.js'
import { DenialReasons } from './ReservationRequest.js'

/** Rejects a request when the batch has no free slot. */
export function judgeBatch (state: LedgerState): Denial | undefined {
  const missing = state.load.running + 1 - state.capacity.batchSlots
  if (missing <= 0) return undefined
  return { reason: DenialReasons.FULL, retryAfterMs: missing * computeReleaseIntervalMs(state) }
}
