const HALF_LIFE_MS = 3_000
/** Assumed successes, so that a single failure has little weight. */
const PRIOR_SUCCESSES = 3
/** A server whose failure rate exceeds the median of its peers by more than this is excluded. */
const MAX_EXCESS_OVER_MEDIAN = 0.2

/** Share of a server's recent responses that failed. Old responses lose weight over time, so that an excluded server is tried again. */
export class FailureRate {
  private failures = 0
  private total = 0
  private updatedAt = 0

  /** Adds responses, of which `failures` failed. */
  add (failures: number, total: number, now: number): void {
    this.applyDecay(now)
    this.failures += failures
    this.total += total
  }

  read (now: number): number {
    this.applyDecay(now)
    return this.failures / (this.total + PRIOR_SUCCESSES)
  }

  private applyDecay (now: number): void {
    const factor = 2 ** ((this.updatedAt - now) / HALF_LIFE_MS)
    this.failures *= factor
    this.total *= factor
    this.updatedAt = now
  }
}

/** Excludes servers that fail clearly more often than the median; when all fail alike, none is excluded. */
export function dropFailing<T extends { readonly failureRate: FailureRate }> (candidates: readonly T[], now: number): T[] {
  const rates = candidates.map((candidate) => candidate.failureRate.read(now)).sort((a, b) => a - b)
  const median = rates[Math.floor((rates.length - 1) / 2)] ?? 0
  return candidates.filter((candidate) => candidate.failureRate.read(now) <= median + MAX_EXCESS_OVER_MEDIAN)
}
