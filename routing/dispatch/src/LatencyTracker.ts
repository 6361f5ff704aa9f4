interface Latency {
  meanMs: number
  deviationMs: number
  count: number
}

const EWMA_SHARE = 0.05
const DEVIATIONS = 4
const MIN_HEDGE_MS = 5
const FIRST_HEDGE_MS = 250
const LEAST_SAMPLES = 20

/** Knows from what time on an answer of a service is late. */
export class LatencyTracker {
  private readonly latencies = new Map<string, Latency>()

  add (name: string, ms: number): void {
    const held = this.latencies.get(name) ?? { meanMs: ms, deviationMs: ms / 2, count: 0 }
    const difference = ms - held.meanMs
    held.meanMs += difference * EWMA_SHARE
    held.deviationMs += (Math.abs(difference) - held.deviationMs) * EWMA_SHARE
    held.count++
    this.latencies.set(name, held)
  }

  /** Milliseconds after which only a few in a hundred answers still come. */
  estimateLate (name: string): number {
    const held = this.latencies.get(name)
    if (!held || held.count < LEAST_SAMPLES) return FIRST_HEDGE_MS
    return Math.max(MIN_HEDGE_MS, held.meanMs + DEVIATIONS * held.deviationMs)
  }
}
