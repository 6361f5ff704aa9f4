import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OwnRoutedProtocol } from '../src/index.js'

const PROTOCOL = new OwnRoutedProtocol()

describe('OwnRoutedProtocol.readAnswer', () => {
  it('reports a status of the server only for a 503 response with Retry-After', () => {
    assert.equal(PROTOCOL.readAnswer(200, { 'retry-after': '3' }).statement, undefined)
    assert.equal(PROTOCOL.readAnswer(503, {}).statement, undefined)
  })

  it('reads the requested pause from Retry-After', () => {
    assert.equal(PROTOCOL.readAnswer(503, { 'retry-after': '3' }).statement?.retryAfterMs, 3_000)
  })

  it('reports an invalid Retry-After header, truncated', () => {
    const { statement } = PROTOCOL.readAnswer(503, { 'retry-after': 'x'.repeat(1_000) })
    assert.equal(statement?.retryAfterMs, undefined)
    assert.match(statement?.unreadable ?? '', /^retry-after: x{64}$/)
  })
})
