import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OwnRoutedProtocol } from '../src/index.js'

const PROTOCOL = new OwnRoutedProtocol()

describe('an answer of a plain backend server on the product\'s own routes', () => {
  it('says nothing of the server unless it refuses', () => {
    assert.equal(PROTOCOL.readResponse(200, { 'retry-after': '3' }).serverStatus, undefined)
    assert.equal(PROTOCOL.readResponse(503, {}).serverStatus, undefined)
  })

  it('says for how long the server wants nothing, when it refuses', () => {
    assert.equal(PROTOCOL.readResponse(503, { 'retry-after': '3' }).serverStatus?.retryAfterMs, 3_000)
  })

  it('says what could not be read, shortened', () => {
    const { serverStatus: statement } = PROTOCOL.readResponse(503, { 'retry-after': 'x'.repeat(1_000) })
    assert.equal(statement?.retryAfterMs, undefined)
    assert.match(statement?.unreadable ?? '', /^retry-after: x{64}$/)
  })
})
