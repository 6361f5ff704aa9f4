export { RetryBudget } from './RetryBudget.js'
export { OutlierDetector, listUsable } from './OutlierDetector.js'
export type { Ejectable } from './OutlierDetector.js'
export { computeBackoff } from './computeBackoff.js'
