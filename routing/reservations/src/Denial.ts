import type { DenialReason } from './ReservationRequest.js'

/** Why a rule rejects a request, and in how many milliseconds room is expected. */
export interface Denial {
  reason: DenialReason
  retryAfterMs: number
}
