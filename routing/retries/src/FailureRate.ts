const HALF_LIFE_MS = 3_000
/** Successes that are taken for granted, so that a single failure says little. */
const PRIOR = 3
/** Share of failures above the middle of its like from which on a server is left out. */
const TOLERANCE = 0.2

/** The share of one server's answers that failed lately; old ones fade, so that a server left out is tried again. */
export class FailureRate {
  private failures = 0
  private total = 0
  private updatedAt = 0

  /** Counts answers, of which some failed. */
  add (failures: number, total: number, now: number): void {
    this.fade(now)
    this.failures += failures
    this.total += total
  }

  read (now: number): number {
    this.fade(now)
    return this.failures / (this.total + PRIOR)
  }

  private fade (now: number): void {
    const share = 2 ** ((this.updatedAt - now) / HALF_LIFE_MS)
    this.failures *= share
    this.total *= share
    this.updatedAt = now
  }
}

/** Leaves out servers that fail clearly more often than the middle one of them all; failures that all share are nobody's own. */
export function dropFailing<T extends { readonly failureRate: FailureRate }> (candidates: readonly T[], now: number): T[] {
  const rates = candidates.map((candidate) => candidate.failureRate.read(now)).sort((a, b) => a - b)
  const middle = rates[Math.floor((rates.length - 1) / 2)] ?? 0
  return candidates.filter((candidate) => candidate.failureRate.read(now) <= middle + TOLERANCE)
}
