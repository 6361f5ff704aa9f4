import assert from 'node:assert/strict'
import { before, describe, it } from 'node:test'
import tls from 'node:tls'
import fc from 'fast-check'
import { createAuthority, createCertificate, createKeys, checkKeyPair, type KeyPair } from '../src/index.js'

/** Bytes at which the DER encoding of an integer changes. */
const EDGE_BYTES = [0x00, 0x7f, 0x80, 0xff]

// A random serial number with leading zeros is not in its shortest DER encoding; such a certificate fails to load ("illegal padding").
describe('certificates', () => {
  const now = new Date('2026-01-01')
  let keys: ReturnType<typeof createKeys>

  const createBoth = (readBytes: (size: number) => Buffer): KeyPair[] => {
    const authority = createAuthority({ name: 'a', days: 1, now, keys, readBytes })
    return [authority, createCertificate(authority, { name: 'i', days: 1, now, keys, readBytes })]
  }
  const load = ({ certificate, key }: KeyPair): unknown => tls.createSecureContext({ cert: certificate, key })

  before(() => {
    keys = createKeys()
  })

  it('can be loaded, whatever random bytes they are created with', () => {
    const edgeByte = fc.constantFrom(...EDGE_BYTES)
    fc.assert(fc.property(edgeByte, edgeByte, fc.uint8Array({ minLength: 18, maxLength: 18 }), (first, second, rest) => {
      for (const pair of createBoth((size) => Buffer.from([first, second, ...rest]).subarray(0, size))) assert.doesNotThrow(() => load(pair))
    }), { numRuns: 60, seed: 47 })
  })

  it('have serial numbers with at least 64 random bits', () => {
    const serials = Array.from({ length: 8 }, (_, index) => {
      const bytes = Buffer.alloc(32)
      bytes[index] = 1
      return createBoth((size) => bytes.subarray(0, size))[0]?.certificate
    })
    assert.equal(new Set(serials).size, serials.length)
  })

  it('are rejected when they cannot be loaded', () => {
    const [pair] = createBoth((size) => Buffer.alloc(size, 1)) as [KeyPair]
    assert.throws(() => checkKeyPair({ ...pair, certificate: pair.certificate.replace(/[A-Za-z0-9+/]{64}/, '') }), { code: 'CERTIFICATE_INVALID' })
    assert.doesNotThrow(() => checkKeyPair(pair))
  })
})
