export interface WeightedValue {
  value: number
  weight: number
}

/** Returns the smallest value that, with all smaller ones, has at least half of the weight; undefined without values. */
export function computeWeightedMedian (values: readonly WeightedValue[]): number | undefined {
  const sorted = [...values].sort((a, b) => a.value - b.value)
  const half = sorted.reduce((sum, { weight }) => sum + weight, 0) / 2
  let below = 0
  return sorted.find(({ weight }) => (below += weight) >= half)?.value
}
