import { generateKeyPairSync, randomBytes } from 'node:crypto'
import tls from 'node:tls'
import { PulleystackError } from '@pulleystack/core.errors'
import forge from 'node-forge'

/** A certificate with its private key, both PEM. */
export interface KeyPair {
  certificate: string
  key: string
}

/** What a certificate is made from. */
export interface CertificateOptions {
  name: string
  days: number
  now: Date
  /** Source of random bytes; the system's own when left out. */
  readBytes?: (size: number) => Buffer
  /** Made anew when left out, which takes a tenth of a second. */
  keys?: forge.pki.rsa.KeyPair
}

const RSA_BITS = 2048
/** RFC 5280, 4.1.2.2: a positive number of 20 bytes at most; 64 random bits or more make it unique (CA/Browser Forum, 7.1). */
const SERIAL_BYTES = 16
const DAY_MS = 86_400_000

/** Makes the system's own certificate authority. */
export function createAuthority (opts: CertificateOptions): KeyPair {
  const keys = opts.keys ?? createKeys()
  const certificate = buildCertificate(keys, opts)
  certificate.setSubject([{ name: 'commonName', value: opts.name }])
  certificate.setIssuer([{ name: 'commonName', value: opts.name }])
  certificate.setExtensions([{ name: 'basicConstraints', cA: true, critical: true }, { name: 'keyUsage', keyCertSign: true, cRLSign: true, critical: true }])
  certificate.sign(keys.privateKey, forge.md.sha256.create())
  return renderPair(certificate, keys)
}

/** Makes a certificate for one instance, signed by the authority; it serves both ends of a link. */
export function createCertificate (authority: KeyPair, opts: CertificateOptions): KeyPair {
  const issuer = forge.pki.certificateFromPem(authority.certificate)
  const keys = opts.keys ?? createKeys()
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

/** Makes the keys of one certificate. */
export function createKeys (): forge.pki.rsa.KeyPair {
  const { privateKey } = generateKeyPairSync('rsa', { modulusLength: RSA_BITS })
  const key = forge.pki.privateKeyFromPem(privateKey.export({ type: 'pkcs1', format: 'pem' }).toString()) as forge.pki.rsa.PrivateKey
  return { privateKey: key, publicKey: forge.pki.setRsaPublicKey(key.n, key.e) }
}

function buildCertificate (keys: forge.pki.rsa.KeyPair, opts: CertificateOptions): forge.pki.Certificate {
  const certificate = forge.pki.createCertificate()
  certificate.publicKey = keys.publicKey
  certificate.serialNumber = createSerial(opts.readBytes ?? randomBytes)
  certificate.validity.notBefore = new Date(opts.now.getTime() - DAY_MS)
  certificate.validity.notAfter = new Date(opts.now.getTime() + opts.days * DAY_MS)
  return certificate
}

/** A random number in hexadecimal. TLS libraries refuse one whose first nine bits are all zero, as it has a shorter form, or all one. */
function createSerial (readBytes: (size: number) => Buffer): string {
  const bytes = Buffer.from(readBytes(SERIAL_BYTES))
  // 40 to 7f: positive, and no byte of it can be left out.
  bytes[0] = (bytes[0] as number) & 0x3f | 0x40
  return bytes.toString('hex')
}

function renderPair (certificate: forge.pki.Certificate, keys: forge.pki.rsa.KeyPair): KeyPair {
  return { certificate: forge.pki.certificateToPem(certificate), key: forge.pki.privateKeyToPem(keys.privateKey) }
}

/** Loads a pair as a TLS server does; throws CERTIFICATE_INVALID when that fails. */
export function loadPair ({ certificate, key }: KeyPair): void {
  try {
    tls.createSecureContext({ cert: certificate, key })
  } catch (cause) {
    throw new PulleystackError('CERTIFICATE_INVALID', `A certificate can't be loaded: ${(cause as Error).message}`, { cause })
  }
}
