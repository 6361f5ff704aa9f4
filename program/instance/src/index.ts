export { startInstance } from './startInstance.js'
export type { Instance, InstanceDependencies } from './startInstance.js'
export type { InstanceStatus } from './createControl.js'
export { connectPlatform } from './connectPlatform.js'
