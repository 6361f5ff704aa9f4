export { startInstance } from './startInstance.js'
export type { Instance, InstanceDependencies } from './startInstance.js'
export { connectPlatform } from './connectPlatform.js'
