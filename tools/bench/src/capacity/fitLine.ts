/** A straight line fitted to points. */
export interface Fit {
  slope: number
  intercept: number
  /** Largest vertical distance of a point from the line, as a share of the largest value. */
  error: number
}

/** Fits a line by least squares. */
export function fitLine (points: readonly { size: number, value: number }[]): Fit {
  const count = points.length
  const meanX = points.reduce((sum, point) => sum + point.size, 0) / count
  const meanY = points.reduce((sum, point) => sum + point.value, 0) / count
  const numerator = points.reduce((sum, point) => sum + (point.size - meanX) * (point.value - meanY), 0)
  const denominator = points.reduce((sum, point) => sum + (point.size - meanX) ** 2, 0)
  const slope = denominator === 0 ? 0 : numerator / denominator
  const intercept = meanY - slope * meanX
  const largest = Math.max(...points.map((point) => Math.abs(point.value)), 1e-9)
  const error = Math.max(...points.map((point) => Math.abs(point.value - intercept - slope * point.size))) / largest
  return { slope, intercept, error }
}
