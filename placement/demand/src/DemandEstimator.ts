interface Estimate {
  rate: number
  at: number
}

const RISE_MS = 3_000
const FALL_MS = 180_000
const FORGET_BELOW = 1e-3

/**
 * Demand by item from many instances' readings. It follows a rise within seconds and a fall within minutes, so that a
 * pause in a burst doesn't cost copies that the next minute needs again.
 */
export class DemandEstimator {
  private readonly readings = new Map<string, { at: number, rates: Record<string, number> }>()
  private readonly estimates = new Map<string, Estimate>()

  /** Takes one instance's newest reading, in tokens a second. */
  takeReading (instance: string, rates: Record<string, number>, now: number): void {
    this.readings.set(instance, { at: now, rates })
  }

  /** Moves the estimates on; readings older than `maxAgeMs` no longer count. */
  update (now: number, maxAgeMs: number): void {
    const sums = this.sumReadings(now - maxAgeMs)
    for (const item of new Set([...this.estimates.keys(), ...sums.keys()])) this.updateItem(item, sums.get(item) ?? 0, now)
  }

  /** Tokens a second that the item should be prepared for. */
  read (item: string): number {
    return this.estimates.get(item)?.rate ?? 0
  }

  private sumReadings (oldest: number): Map<string, number> {
    const sums = new Map<string, number>()
    for (const [instance, reading] of this.readings) {
      if (reading.at < oldest) {
        this.readings.delete(instance)
        continue
      }
      for (const [item, rate] of Object.entries(reading.rates)) sums.set(item, (sums.get(item) ?? 0) + rate)
    }
    return sums
  }

  private updateItem (item: string, rate: number, now: number): void {
    const held = this.estimates.get(item) ?? { rate: 0, at: now - RISE_MS }
    const timeMs = rate > held.rate ? RISE_MS : FALL_MS
    const share = 1 - Math.exp(-(now - held.at) / timeMs)
    const next = held.rate + (rate - held.rate) * share
    if (next < FORGET_BELOW && rate === 0) this.estimates.delete(item)
    else this.estimates.set(item, { rate: next, at: now })
  }
}
