export { ServerPermits, computePermitsPerSecond } from './ServerPermits.js'
export type { ServerPermitsOptions } from './ServerPermits.js'
