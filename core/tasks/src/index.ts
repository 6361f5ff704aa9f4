export { keepRunning } from './keepRunning.js'
export type { BackgroundTask } from './keepRunning.js'
export { reportTaskFailure, taskFailures } from './taskFailures.js'
export type { TaskFailure } from './taskFailures.js'
