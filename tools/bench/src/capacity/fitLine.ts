/** A straight line through measured points. */
export interface Fit {
  slope: number
  intercept: number
  /** Largest distance of a point from the line, as a share of the largest value. */
  error: number
}

/** Least squares; the error tells whether a line fits at all. */
export function fitLine (points: readonly { size: number, value: number }[]): Fit {
  const count = points.length
  const meanX = points.reduce((sum, point) => sum + point.size, 0) / count
  const meanY = points.reduce((sum, point) => sum + point.value, 0) / count
  const above = points.reduce((sum, point) => sum + (point.size - meanX) * (point.value - meanY), 0)
  const below = points.reduce((sum, point) => sum + (point.size - meanX) ** 2, 0)
  const slope = below === 0 ? 0 : above / below
  const intercept = meanY - slope * meanX
  const largest = Math.max(...points.map((point) => Math.abs(point.value)), 1e-9)
  const error = Math.max(...points.map((point) => Math.abs(point.value - intercept - slope * point.size))) / largest
  return { slope, intercept, error }
}
