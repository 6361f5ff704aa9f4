import assert from 'node:assert/strict'
import http from 'node:http'
import net, { type AddressInfo } from 'node:net'
import { text } from 'node:stream/consumers'
import { describe, it } from 'node:test'
import { SystemClock } from '@pulleystack/core.clock'
import { convertToError, type PulleystackError } from '@pulleystack/core.errors'
import { buildCaller } from '@pulleystack/tools.testing'
import { relayRequest, type RelayTarget } from '../src/relayRequest.js'

const DEADLINE_MS = 30_000
const clock = new SystemClock()
const UNREACHABLE_TARGET = { instance: 'gone', address: '127.0.0.1:1' }

interface RelayResult {
  /** Result of the relay, or its error. */
  outcome: boolean | PulleystackError
  /** Body that the caller received; undefined when it was broken off. */
  received: string | undefined
}

/** Relays one request to an instance. */
async function relayTo (target: RelayTarget, isBuffered: boolean, deadlineMs = DEADLINE_MS): Promise<RelayResult> {
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
    relayRequest(context, target, { clock, sender: 'a', body: isBuffered ? Buffer.from('body') : undefined, deadline: clock.readTime() + deadlineMs })
      .then(deferred.resolve, (thrown: unknown) => deferred.resolve(convertToError(thrown)))
      .finally(() => response.end())
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const request = http.request({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', method: 'POST', agent: false })
  const received = new Promise<string | undefined>((resolve) => {
    request.on('error', () => resolve(undefined))
    request.on('response', (response) => text(response).then(resolve, () => resolve(undefined)))
  })
  request.end('body')
  const result = { outcome: await deferred.promise, received: await received }
  server.close()
  server.closeAllConnections()
  return result
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
    assert.equal((await relayTo(UNREACHABLE_TARGET, true)).outcome, false)
  })

  // The part of the body that was read for the relay would be missing in any later attempt.
  it('throws an error with `ran: no` for a request with a streamed body', async () => {
    const { outcome } = await relayTo(UNREACHABLE_TARGET, false)
    assert.ok(typeof outcome !== 'boolean')
    assert.deepEqual([outcome.code, outcome.ran], ['ATTEMPT_FAILED_NOT_RUN', 'no'])
  })
  // A response that was broken off passed as complete.
  it('breaks the response off when the instance resets one without a length and chunks', async () => {
    const instance = net.createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf', () => setTimeout(() => socket.resetAndDestroy(), 20)))
    })
    await new Promise<void>((resolve) => instance.listen(0, '127.0.0.1', resolve))
    const { outcome, received } = await relayTo({ instance: 'b', address: `127.0.0.1:${(instance.address() as AddressInfo).port}` }, true)
    instance.close()
    assert.ok(typeof outcome !== 'boolean')
    assert.deepEqual([outcome.code, received], ['ATTEMPT_FAILED_UNKNOWN', undefined])
  })

  // Guards against relayed requests that wait for a silent instance for as long as their callers stay.
  it('ends at the deadline when the instance stays silent, and tells it the time that is left', async () => {
    let head = ''
    const instance = net.createServer((socket) => {
      socket.on('error', () => undefined)
      socket.on('data', (bytes: Buffer) => {
        head += bytes.toString()
      })
    })
    await new Promise<void>((resolve) => instance.listen(0, '127.0.0.1', resolve))
    const { outcome } = await relayTo({ instance: 'b', address: `127.0.0.1:${(instance.address() as AddressInfo).port}` }, true, 200)
    instance.close()
    assert.ok(typeof outcome !== 'boolean')
    assert.deepEqual([outcome.code, outcome.ran], ['DEADLINE_UNKNOWN', 'unknown'])
    const toldMs = Number(/pulleystack-deadline-ms: (\d+)/.exec(head)?.[1])
    assert.ok(toldMs > 0 && toldMs <= 200, head)
  })
})
