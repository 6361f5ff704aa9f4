import assert from 'node:assert/strict'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { convertToError, type PulleystackError } from '@pulleystack/core.errors'
import { buildCaller } from '@pulleystack/tools.testing'
import { relayRequest } from '../src/relayRequest.js'

const UNREACHABLE_TARGET = { instance: 'gone', address: '127.0.0.1:1' }

/** Relays one request to an instance that can't be reached; resolves to the result or the error. */
async function relayToUnreachable (isBuffered: boolean): Promise<boolean | PulleystackError> {
  const deferred = createDeferred()
  const server = http.createServer((request, response) => {
    const context = {
      id: 'r',
      caller: buildCaller('p', 'c', 'k'),
      request,
      response,
      url: new URL('http://x/services/s/'),
      arrivedAt: 0,
      signal: new AbortController().signal,
    }
    relayRequest(context, UNREACHABLE_TARGET, 'a', isBuffered ? Buffer.from('body') : undefined)
      .then(deferred.resolve, (thrown: unknown) => deferred.resolve(convertToError(thrown)))
      .finally(() => response.end())
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const request = http.request({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', method: 'POST', agent: false })
  request.on('error', () => undefined)
  request.end('body')
  const outcome = await deferred.promise
  server.close()
  server.closeAllConnections()
  return outcome
}

function createDeferred () {
  let resolve: (value: boolean | PulleystackError) => void = () => undefined
  const promise = new Promise<boolean | PulleystackError>((settle) => {
    resolve = settle
  })
  return { promise, resolve }
}

describe('relayRequest', () => {
  it('returns false for a request with a buffered body when the instance can\'t be reached', async () => {
    assert.equal(await relayToUnreachable(true), false)
  })

  // The part of the body that was read for the relay would be missing in any later attempt.
  it('throws an error with `ran: no` for a request with a streamed body', async () => {
    const outcome = await relayToUnreachable(false)
    assert.ok(typeof outcome !== 'boolean')
    assert.deepEqual([outcome.code, outcome.ran], ['ATTEMPT_FAILED_NOT_RUN', 'no'])
  })
})
