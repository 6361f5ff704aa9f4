export { Clock, ManualClock, SystemClock } from './Clock.js'
export type { CancelTimer } from './Clock.js'
export { RandomSource } from './RandomSource.js'
