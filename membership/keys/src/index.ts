export { createAuthority, createCertificate, createKeys, loadPair } from './certificates.js'
export type { CertificateOptions, KeyPair } from './certificates.js'
export { createAccessKey, matchKeyHash } from './accessKeys.js'
