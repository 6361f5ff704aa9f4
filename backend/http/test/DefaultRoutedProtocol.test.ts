import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DefaultRoutedProtocol } from '../src/index.js'

const PROTOCOL = new DefaultRoutedProtocol()

describe('DefaultRoutedProtocol.readResponse', () => {
  it('reports a status of the server only for a 503 response with Retry-After', () => {
    assert.equal(PROTOCOL.readResponse(200, { 'retry-after': '3' }).serverStatus, undefined)
    assert.equal(PROTOCOL.readResponse(503, {}).serverStatus, undefined)
  })

  it('reads the requested pause from Retry-After', () => {
    assert.equal(PROTOCOL.readResponse(503, { 'retry-after': '3' }).serverStatus?.retryAfterMs, 3_000)
  })

  it('reports an invalid Retry-After header, truncated', () => {
    const { serverStatus } = PROTOCOL.readResponse(503, { 'retry-after': 'x'.repeat(1_000) })
    assert.equal(serverStatus?.retryAfterMs, undefined)
    assert.match(serverStatus?.invalidHeader ?? '', /^retry-after: x{64}$/)
  })
})
