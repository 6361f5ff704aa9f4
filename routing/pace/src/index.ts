export type { PaceEstimate } from './PaceEstimate.js'
export type { PaceSample, SharedPace } from './PaceSample.js'
