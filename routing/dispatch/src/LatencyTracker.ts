interface Latency {
  meanMs: number
  deviationMs: number
  count: number
}

const EWMA_WEIGHT = 0.05
const SLOW_DEVIATIONS = 4
const MIN_HEDGE_MS = 5
const DEFAULT_HEDGE_MS = 250
const MIN_SAMPLES = 20

/** Estimates from past latencies when a service's response counts as slow. */
export class LatencyTracker {
  private readonly latencies = new Map<string, Latency>()

  add (service: string, ms: number): void {
    const latency = this.latencies.get(service) ?? { meanMs: ms, deviationMs: ms / 2, count: 0 }
    const difference = ms - latency.meanMs
    latency.meanMs += difference * EWMA_WEIGHT
    latency.deviationMs += (Math.abs(difference) - latency.deviationMs) * EWMA_WEIGHT
    latency.count++
    this.latencies.set(service, latency)
  }

  /** Milliseconds within which all but a few percent of the responses arrive. */
  estimateSlowMs (service: string): number {
    const latency = this.latencies.get(service)
    if (!latency || latency.count < MIN_SAMPLES) return DEFAULT_HEDGE_MS
    return Math.max(MIN_HEDGE_MS, latency.meanMs + SLOW_DEVIATIONS * latency.deviationMs)
  }
}
