export { createAuthority, createCertificate } from './certificates.js'
export type { KeyPair } from './certificates.js'
export { createAccessKey, matchKeyHash } from './accessKeys.js'
