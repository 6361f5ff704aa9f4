export { admitObject, admitDeletion } from './admitObject.js'
export type { AdmissionView, Operator, PoolCapacity } from './admitObject.js'
export { checkCapacity } from './checkCapacity.js'
