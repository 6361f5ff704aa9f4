import { MIN_READ_LIMIT, computeReadLimit } from './computeReadLimit.js'
import type { Denial } from './Denial.js'
import { computeReleaseIntervalMs, type LedgerState } from './LedgerState.js'
import type { Reservation } from './Reservation.js'
import { DenialReasons } from './ReservationRequest.js'

/**
 * Rejects a request whose prompt would delay the running streams for too long. Without queued prompts any prompt is accepted, except a long one
 * during a slow period; in that period one prompt at a time probes the server.
 */
export function judgePrefill (state: LedgerState, request: Reservation): Denial | undefined {
  const { pace, load } = state
  const queued = load.prefillTokens
  const limit = computeReadLimit(pace, findShortestPause([...state.running, request]))
  // Keeping prompts from a server whose streams pause too long anyway would only leave it idle, and others late.
  if (!pace.isSlowNow && limit <= MIN_READ_LIMIT) return undefined
  if (queued === 0) {
    const mayRead = !pace.isSlowNow || request.readTokens <= limit
    return mayRead ? undefined : { reason: DenialReasons.READING, retryAfterMs: computeReleaseIntervalMs(state) }
  }
  const excess = pace.isSlowNow ? queued : queued + countTokens(request, limit) - limit
  return excess <= 0 ? undefined : { reason: DenialReasons.READING, retryAfterMs: excess / pace.tokensPerMs }
}

/** A prompt above the limit counts for half of it, as it would otherwise wait until no prompt is queued, which may never happen. */
function countTokens ({ readTokens }: Reservation, limit: number): number {
  return readTokens > limit ? limit / 2 : readTokens
}

function findShortestPause (reservations: readonly Reservation[]): number | undefined {
  const pauses = reservations.map((it) => it.longestPauseMs).filter((it) => it !== undefined)
  return pauses.length === 0 ? undefined : Math.min(...pauses)
}
