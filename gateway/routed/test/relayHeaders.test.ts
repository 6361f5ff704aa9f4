import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ForwardHeaders, HopHeaders, buildHopHeaders, formatOrigin, readForwarded, readHop, readOrigin } from '../src/relayHeaders.js'

const OWN_KEY = 'own-key'

describe('headers of a forwarded request', () => {
  const read = (key: string, attempts: string): unknown => readForwarded({ [ForwardHeaders.KEY]: key, [ForwardHeaders.ATTEMPTS]: attempts }, OWN_KEY)

  it('are believed with the own key only', () => {
    assert.deepEqual(read(OWN_KEY, '2'), { attemptsLeft: 2 })
    assert.equal(read('another', '2'), undefined)
    assert.equal(readForwarded({}, OWN_KEY), undefined)
    assert.equal(readForwarded({}, undefined), undefined)
  })

  it('tell whether the client has a part of the response', () => {
    const headers = { [ForwardHeaders.KEY]: OWN_KEY, [ForwardHeaders.ATTEMPTS]: '2', [ForwardHeaders.BEGUN]: '1' }
    assert.deepEqual(readForwarded(headers, OWN_KEY), { attemptsLeft: 2, hasBegun: true })
    assert.equal(readForwarded(headers, 'another'), undefined)
  })

  it('allow one attempt if the number makes no sense', () => {
    for (const attempts of ['', '0', '-1', '1.5', 'many']) assert.deepEqual(read(OWN_KEY, attempts), { attemptsLeft: 1 })
  })
})

describe('headers of a request that another instance hands on', () => {
  const hop = { sender: 'e2', usedMs: 12.5, sentAt: 5_000.5 }
  const build = (changes: Record<string, string | undefined> = {}): Record<string, string | undefined> => {
    const headers = buildHopHeaders(hop, OWN_KEY)
    const pairs = headers.flatMap((name, at) => at % 2 === 0 ? [[name, headers[at + 1]]] : [])
    return { ...Object.fromEntries(pairs) as Record<string, string>, ...changes }
  }

  it('tell what it has used', () => assert.deepEqual(readHop(build(), OWN_KEY), hop))

  it('are believed with the own key only', () => {
    assert.equal(readHop(build(), 'another'), undefined)
    assert.equal(readHop(build(), undefined), undefined)
    assert.equal(readHop(build({ [HopHeaders.KEY]: undefined }), OWN_KEY), undefined)
  })

  it('tell nothing if one of them makes no sense', () => {
    for (const value of ['-1', 'NaN', 'Infinity', 'x', '1, 2', undefined]) assert.equal(readHop(build({ [HopHeaders.USED_MS]: value }), OWN_KEY), undefined, value)
    for (const value of ['NaN', '-Infinity', 'x', undefined]) assert.equal(readHop(build({ [HopHeaders.SENT_AT]: value }), OWN_KEY), undefined, value)
    assert.equal(readHop(build({ [HopHeaders.SENDER]: undefined }), OWN_KEY), undefined)
  })
})

describe('the origin of a stream in the headers of an instance', () => {
  const origin = { service: 'writer', version: 'v1, \u00e9\ud800\r\n' }

  it('is told whatever its names hold', () => {
    const value = formatOrigin(origin)
    assert.match(value, /^[\w-]+$/)
    const told = readForwarded({ [ForwardHeaders.KEY]: OWN_KEY, [ForwardHeaders.ATTEMPTS]: '2', [ForwardHeaders.ORIGIN]: value }, OWN_KEY)
    assert.deepEqual(told, { attemptsLeft: 2, origin: { ...origin, version: origin.version } })
  })

  it('is unknown if the header makes no sense, or a client sends it', () => {
    const senseless = ['', 'x', '%', ...['null', '7', '{}', '["a"]', '["a",1]'].map((text) => Buffer.from(text).toString('base64url'))]
    for (const value of senseless) assert.equal(readOrigin({ [ForwardHeaders.ORIGIN]: value }), undefined, value)
    assert.equal(readForwarded({ [ForwardHeaders.ORIGIN]: formatOrigin(origin) }, OWN_KEY), undefined)
  })
})
