/** Weight of a new sample in the moving averages: about the last twenty samples count, which a busy model yields in a second. */
const SMOOTHING = 0.1
/** Mean deviations above the mean that cover nearly all samples; TCP's retransmission timer uses four (RFC 6298). */
const UPPER_BOUND_DEVIATIONS = 2

interface Moments {
  mean: number
  /** Mean absolute deviation. */
  deviation: number
}

/** Exponential moving averages by name. */
export class RecentMean {
  private readonly moments = new Map<string, Moments>()

  add (name: string, sample: number): void {
    const prior = this.moments.get(name)
    if (!prior) {
      this.moments.set(name, { mean: sample, deviation: 0 })
      return
    }
    const distance = sample - prior.mean
    this.moments.set(name, { mean: prior.mean + distance * SMOOTHING, deviation: prior.deviation + (Math.abs(distance) - prior.deviation) * SMOOTHING })
  }

  /** Returns undefined before the first sample. */
  read (name: string): number | undefined {
    return this.moments.get(name)?.mean
  }

  /** Returns a bound that nearly all samples stay below; undefined before the first sample. */
  readUpperBound (name: string): number | undefined {
    const moments = this.moments.get(name)
    return moments && moments.mean + UPPER_BOUND_DEVIATIONS * moments.deviation
  }
}
