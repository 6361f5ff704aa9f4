import type { Denial } from './Denial.js'
import { estimateCacheTokens } from './estimateCacheTokens.js'
import { computeReleaseIntervalMs, type LedgerState } from './LedgerState.js'
import type { Reservation } from './Reservation.js'
import { DenialReasons } from './ReservationRequest.js'

/** Share of the KV cache that may be used; a server whose memory is exceeded preempts requests or crashes. */
const MAX_CACHE_SHARE = 0.92

/** Rejects a request whose prompt and output may not fit into the KV cache beside those of the others. */
export function judgeCache (state: LedgerState, request: Reservation): Denial | undefined {
  const { running, load, capacity } = state
  const sharedTokens = load.cacheTokens - running.reduce((sum, it) => sum + it.cacheTokens, 0)
  const excess = estimateCacheTokens([...running, request], sharedTokens) - capacity.cacheTokens * MAX_CACHE_SHARE
  if (excess <= 0) return undefined
  const tokensPerRelease = Math.max(1, load.cacheTokens / Math.max(1, load.running))
  const releases = Math.min(load.running, Math.ceil(excess / tokensPerRelease))
  return { reason: DenialReasons.FULL, retryAfterMs: releases * computeReleaseIntervalMs(state) }
}
