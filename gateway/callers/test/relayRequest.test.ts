import assert from 'node:assert/strict'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { convertToError, type PulleystackError } from '@pulleystack/core.errors'
import { buildCaller } from '@pulleystack/tools.testing'
import { relayRequest } from '../src/relayRequest.js'

const NOBODY = { instance: 'gone', address: '127.0.0.1:1' }

/** Relays one request to an instance that isn't there; gives what came of it. */
async function relayToNobody (isKept: boolean): Promise<boolean | PulleystackError> {
  const result = createDeferred()
  const server = http.createServer((request, response) => {
    const context = {
      id: 'r',
      caller: buildCaller('p', 'c', 'k'),
      request,
      response,
      url: new URL('http://x/services/s/'),
      since: 0,
      signal: new AbortController().signal,
    }
    relayRequest(context, NOBODY, 'a', isKept ? Buffer.from('body') : undefined)
      .then(result.resolve, (thrown: unknown) => result.resolve(convertToError(thrown)))
      .finally(() => response.end())
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const request = http.request({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', method: 'POST', agent: false })
  request.on('error', () => undefined)
  request.end('body')
  const outcome = await result.promise
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
  it('leaves a request whose body is kept to be served elsewhere when the instance can\'t be reached', async () => {
    assert.equal(await relayToNobody(true), false)
  })

  // Served here, it would have gone on to a backend server without the part that was read for the relay.
  it('refuses a request whose body streams, and says that it did not run', async () => {
    const outcome = await relayToNobody(false)
    assert.ok(typeof outcome !== 'boolean')
    assert.deepEqual([outcome.code, outcome.ran], ['ATTEMPT_FAILED_NOT_RUN', 'no'])
  })
})
