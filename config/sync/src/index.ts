export { startConfigSync } from './startConfigSync.js'
export type { ConfigSyncOptions } from './startConfigSync.js'
