import type { Clock } from '@pulleystack/core.clock'

const BIN_MS = 50
/** The bins cover a little more than the longer window. */
const BINS = 32
/** Rises and falls show in the requests of these latest milliseconds. */
const RISE_WINDOW_MS = 500
const FALL_WINDOW_MS = 1_500
/** Difference from the predicted number, in standard deviations, that random arrivals hardly ever reach. */
const SIGNIFICANT_DEVIATIONS = 3

interface RecentRequests {
  bins: Float64Array
  /** Number of the latest bin. */
  newest: number
}

/** Detects early that the demand for a model rises or falls, from the requests of the last moments over all instances. */
export class DemandShifts {
  private readonly recent = new Map<string, RecentRequests>()

  constructor (private readonly clock: Clock) {}

  /** Adds requests that arrived evenly over the last `spanMs`. */
  add (name: string, requests: number, spanMs: number): void {
    if (requests <= 0) return
    const { bins, newest } = this.advance(name)
    const spanned = Math.max(1, Math.round(spanMs / BIN_MS))
    for (let age = 0; age < Math.min(spanned, BINS); age++) {
      const at = (newest - age) % BINS
      bins[at] = (bins[at] ?? 0) + requests / spanned
    }
  }

  /**
   * Estimates the current rate from an average one, in requests per second: the recent rate replaces it if the recent requests exceed, or fall short
   * of, the number predicted from it by three standard deviations.
   */
  estimateRate (name: string, meanRate: number): number {
    const { bins, newest } = this.advance(name)
    const risen = this.sum(bins, newest, RISE_WINDOW_MS)
    if (isAbove(risen, meanRate * RISE_WINDOW_MS / 1_000)) return risen * 1_000 / RISE_WINDOW_MS
    const fallen = this.sum(bins, newest, FALL_WINDOW_MS)
    // Requests that arrived but are not reported yet are covered by one standard deviation and one request.
    if (isBelow(fallen, meanRate * FALL_WINDOW_MS / 1_000)) return Math.min(meanRate, (fallen + Math.sqrt(fallen) + 1) * 1_000 / FALL_WINDOW_MS)
    return meanRate
  }

  private sum (bins: Float64Array, newest: number, windowMs: number): number {
    let sum = 0
    for (let age = 0; age < windowMs / BIN_MS; age++) sum += bins[(newest - age) % BINS] ?? 0
    return sum
  }

  /** Empties the bins of the time since the last call. */
  private advance (name: string): RecentRequests {
    const now = Math.floor(this.clock.readTime() / BIN_MS) + BINS
    const recent = this.recent.get(name) ?? { bins: new Float64Array(BINS), newest: now }
    for (let bin = Math.max(recent.newest, now - BINS) + 1; bin <= now; bin++) recent.bins[bin % BINS] = 0
    recent.newest = Math.max(recent.newest, now)
    this.recent.set(name, recent)
    return recent
  }
}

/** The additional request covers the skewness of small counts. */
function isAbove (count: number, predicted: number): boolean {
  return count > predicted + SIGNIFICANT_DEVIATIONS * Math.sqrt(predicted) + 1
}

function isBelow (count: number, predicted: number): boolean {
  return count < predicted - SIGNIFICANT_DEVIATIONS * Math.sqrt(predicted) - 1
}
