/** Returns the smallest sample that at least `share` of all samples, more than 0 and at most 1, do not exceed; undefined without samples. */
export function computePercentile (samples: readonly number[], share: number): number | undefined {
  const sorted = samples.toSorted((a, b) => a - b)
  return sorted[Math.ceil(sorted.length * share) - 1]
}

/** Rounds to tenths, the resolution of the figures of a summary. */
export function roundToTenths (value: number): number {
  return Math.round(value * 10) / 10
}
