import { computeWeightedMedian, type WeightedValue } from './computeWeightedMedian.js'

/** Median of observed values and its weight. */
export interface WeightedMedian {
  value: number
  /** Number of samples, each discounted by its age. */
  weight: number
}

interface Sample {
  value: number
  samples: number
  at: number
}

export const MAX_SAMPLES = 24
const MAX_AGE_MS = 30_000
const HALF_LIFE_MS = 10_000

/** The newest values of one quantity, with their monotonic times in milliseconds. */
export class PaceSamples {
  private samples: Sample[] = []

  /** Adds a value that stands for a number of samples. */
  add (value: number, at: number, samples = 1): void {
    this.samples.push({ value, at, samples: Math.min(samples, MAX_SAMPLES) })
    if (this.samples.length > MAX_SAMPLES) this.samples.shift()
  }

  count (now: number): number {
    return this.samples.filter(({ at }) => isRecent(at, now)).length
  }

  /** Undefined without recent samples. */
  readMedian (now: number): WeightedMedian | undefined {
    this.samples = this.samples.filter(({ at }) => isRecent(at, now))
    const weighted = this.samples.map(({ value, samples, at }): WeightedValue => ({ value, weight: samples * 2 ** (Math.min(0, at - now) / HALF_LIFE_MS) }))
    const value = computeWeightedMedian(weighted)
    return value === undefined ? undefined : { value, weight: Math.min(MAX_SAMPLES, weighted.reduce((sum, it) => sum + it.weight, 0)) }
  }
}

function isRecent (at: number, now: number): boolean {
  return now - at <= MAX_AGE_MS
}

/** Averages the medians of this instance and of its peers by their weights. */
export function mergeMedians (own: WeightedMedian | undefined, peers: WeightedMedian | undefined): WeightedMedian | undefined {
  if (!own || !peers) return own ?? peers
  const weight = own.weight + peers.weight
  return { value: (own.value * own.weight + peers.value * peers.weight) / weight, weight }
}
