import type { ModelServing } from './Route.js'

/** Ratio of the largest to the smallest model above which requests of a service differ too much in cost for shared constants. */
const MIN_WEIGHTS_RATIO = 1.5

/** Whether the models of a service differ so much in size that servers and models have to be measured one by one. */
export function isHeterogeneous (serving: ModelServing | undefined): boolean {
  if (!serving || serving.models.length === 0) return false
  const weights = serving.models.map((model) => model.weightsMb)
  return Math.max(...weights) >= Math.min(...weights) * MIN_WEIGHTS_RATIO
}
