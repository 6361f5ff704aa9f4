export { InstanceMesh } from './InstanceMesh.js'
export type { InstanceMeshOptions } from './InstanceMesh.js'
