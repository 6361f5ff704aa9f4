export { createAuthority, createCertificate, createKeys, checkKeyPair } from './certificates.js'
export type { CertificateOptions, KeyPair } from './certificates.js'
export { createAccessKey, isMatchingKey } from './accessKeys.js'
