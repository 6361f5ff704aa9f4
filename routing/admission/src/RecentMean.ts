/** Share by which one sample moves a mean: about the last twenty count, which a busy model brings together in a second. */
const WEIGHT = 0.1
/** How many mean deviations above the mean nearly all samples stay; retransmission timers of TCP (RFC 6298) use four, where a false alarm costs more. */
const HIGH_DEVIATIONS = 2

interface Moments {
  mean: number
  /** Mean distance from the mean. */
  deviation: number
}

/** Means of the newest samples, by name. */
export class RecentMean {
  private readonly moments = new Map<string, Moments>()

  add (name: string, sample: number): void {
    const before = this.moments.get(name)
    if (!before) {
      this.moments.set(name, { mean: sample, deviation: 0 })
      return
    }
    const distance = sample - before.mean
    this.moments.set(name, { mean: before.mean + distance * WEIGHT, deviation: before.deviation + (Math.abs(distance) - before.deviation) * WEIGHT })
  }

  /** Undefined before the first sample. */
  read (name: string): number | undefined {
    return this.moments.get(name)?.mean
  }

  /** What nearly all samples stay below; undefined before the first one. */
  readHigh (name: string): number | undefined {
    const moments = this.moments.get(name)
    return moments && moments.mean + HIGH_DEVIATIONS * moments.deviation
  }
}
