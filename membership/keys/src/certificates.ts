import { generateKeyPairSync, randomBytes } from 'node:crypto'
import forge from 'node-forge'

/** A certificate with its private key, both PEM. */
export interface KeyPair {
  certificate: string
  key: string
}

const RSA_BITS = 2048
const DAY_MS = 86_400_000

/** Makes the system's own certificate authority. */
export function createAuthority (opts: { name: string, days: number, now: Date }): KeyPair {
  const keys = createKeys()
  const certificate = buildCertificate(keys, opts)
  certificate.setSubject([{ name: 'commonName', value: opts.name }])
  certificate.setIssuer([{ name: 'commonName', value: opts.name }])
  certificate.setExtensions([{ name: 'basicConstraints', cA: true, critical: true }, { name: 'keyUsage', keyCertSign: true, cRLSign: true, critical: true }])
  certificate.sign(keys.privateKey, forge.md.sha256.create())
  return renderPair(certificate, keys)
}

/** Makes a certificate for one instance, signed by the authority; it serves both ends of a link. */
export function createCertificate (authority: KeyPair, opts: { name: string, days: number, now: Date }): KeyPair {
  const issuer = forge.pki.certificateFromPem(authority.certificate)
  const keys = createKeys()
  const certificate = buildCertificate(keys, opts)
  certificate.setSubject([{ name: 'commonName', value: opts.name }])
  certificate.setIssuer(issuer.subject.attributes)
  certificate.setExtensions([
    { name: 'basicConstraints', cA: false },
    { name: 'keyUsage', digitalSignature: true, keyEncipherment: true },
    { name: 'extKeyUsage', serverAuth: true, clientAuth: true },
  ])
  certificate.sign(forge.pki.privateKeyFromPem(authority.key), forge.md.sha256.create())
  return renderPair(certificate, keys)
}

function createKeys (): forge.pki.rsa.KeyPair {
  const { privateKey } = generateKeyPairSync('rsa', { modulusLength: RSA_BITS })
  const key = forge.pki.privateKeyFromPem(privateKey.export({ type: 'pkcs1', format: 'pem' }).toString()) as forge.pki.rsa.PrivateKey
  return { privateKey: key, publicKey: forge.pki.setRsaPublicKey(key.n, key.e) }
}

function buildCertificate (keys: forge.pki.rsa.KeyPair, opts: { days: number, now: Date }): forge.pki.Certificate {
  const certificate = forge.pki.createCertificate()
  certificate.publicKey = keys.publicKey
  certificate.serialNumber = `00${randomBytes(15).toString('hex')}`
  certificate.validity.notBefore = new Date(opts.now.getTime() - DAY_MS)
  certificate.validity.notAfter = new Date(opts.now.getTime() + opts.days * DAY_MS)
  return certificate
}

function renderPair (certificate: forge.pki.Certificate, keys: forge.pki.rsa.KeyPair): KeyPair {
  return { certificate: forge.pki.certificateToPem(certificate), key: forge.pki.privateKeyToPem(keys.privateKey) }
}
