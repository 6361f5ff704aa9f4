import type { Reservation } from './Reservation.js'

/**
 * Output hints are right in the median. Lengths that scatter around it by a factor of two either way in two thirds of the cases (log-normal with
 * sigma 0.7) have a mean of 1.28 times the median and a standard deviation of about the median.
 */
const MEAN_EXCESS = 0.28
/** Standard deviations above the mean that the estimate covers; scatter of independent outputs partly cancels out. */
const COVERED_DEVIATIONS = 2

/** KV cache tokens that requests need in nearly all cases; `sharedTokens` are those of requests that are only known in total. */
export function estimateCacheTokens (reservations: readonly Reservation[], sharedTokens: number): number {
  let expected = sharedTokens
  let variance = 0
  for (const { cacheTokens, outputTokens } of reservations) {
    expected += cacheTokens + outputTokens * MEAN_EXCESS
    variance += outputTokens ** 2
  }
  return expected + COVERED_DEVIATIONS * Math.sqrt(variance)
}
