export { DemandEstimator } from './DemandEstimator.js'
export { DemandMeter } from './DemandMeter.js'
