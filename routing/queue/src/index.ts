export { WorkQueue } from './WorkQueue.js'
export type { QueuedWork, WorkQueueOptions } from './WorkQueue.js'
