interface Estimate {
  rate: number
  updatedAt: number
}

const RISE_TIME_CONSTANT_MS = 3_000
const FALL_TIME_CONSTANT_MS = 180_000
const MIN_TRACKED_RATE = 1e-3

/**
 * Estimates the demand for each item from the rates reported by many instances. A rise is followed within seconds and a fall within minutes, so
 * that copies aren't dropped during a short pause in traffic.
 */
export class DemandEstimator {
  private readonly readings = new Map<string, { receivedAt: number, rates: Record<string, number> }>()
  private readonly estimates = new Map<string, Estimate>()

  /** Records the latest rates of one instance, in tokens per second. */
  recordRates (instance: string, rates: Record<string, number>, now: number): void {
    this.readings.set(instance, { receivedAt: now, rates })
  }

  /** Updates the estimates; ignores readings older than `maxAgeMs`. */
  update (now: number, maxAgeMs: number): void {
    const sums = this.sumReadings(now - maxAgeMs)
    for (const item of new Set([...this.estimates.keys(), ...sums.keys()])) this.updateItem(item, sums.get(item) ?? 0, now)
  }

  /** Estimated demand for the item, in tokens per second. */
  readRate (item: string): number {
    return this.estimates.get(item)?.rate ?? 0
  }

  private sumReadings (notBefore: number): Map<string, number> {
    const sums = new Map<string, number>()
    for (const [instance, reading] of this.readings) {
      if (reading.receivedAt < notBefore) {
        this.readings.delete(instance)
        continue
      }
      for (const [item, rate] of Object.entries(reading.rates)) sums.set(item, (sums.get(item) ?? 0) + rate)
    }
    return sums
  }

  private updateItem (item: string, observedRate: number, now: number): void {
    const estimate = this.estimates.get(item) ?? { rate: 0, updatedAt: now - RISE_TIME_CONSTANT_MS }
    const timeConstantMs = observedRate > estimate.rate ? RISE_TIME_CONSTANT_MS : FALL_TIME_CONSTANT_MS
    const weight = 1 - Math.exp(-(now - estimate.updatedAt) / timeConstantMs)
    const smoothedRate = estimate.rate + (observedRate - estimate.rate) * weight
    if (smoothedRate < MIN_TRACKED_RATE && observedRate === 0) this.estimates.delete(item)
    else this.estimates.set(item, { rate: smoothedRate, updatedAt: now })
  }
}
