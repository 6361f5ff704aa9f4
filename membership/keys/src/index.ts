export { createAuthority, createCertificate } from './certificates.js'
export type { KeyPair } from './certificates.js'
export { createAccessKey, hashAccessKey, matchKeyHash } from './accessKeys.js'
