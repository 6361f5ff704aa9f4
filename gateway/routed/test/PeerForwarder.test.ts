import assert from 'node:assert/strict'
import type { IncomingHttpHeaders } from 'node:http'
import net, { type AddressInfo } from 'node:net'
import { after, before, describe, it } from 'node:test'
import type { ResponseFacts, RoutedProtocol } from '@pulleystack/backend.interfaces'
import { RandomSource, SystemClock } from '@pulleystack/core.clock'
import { BackendAgent, type ExchangeResponse } from '@pulleystack/routing.forward'
import { PeerForwarder } from '../src/PeerForwarder.js'
import { ForwardHeaders } from '../src/relayHeaders.js'
import type { RoutedWork } from '../src/RoutedWork.js'

const protocol = {
  readResponse: (_: number, headers: IncomingHttpHeaders): ResponseFacts => ({ requestId: headers['request-id'] as string, isConfirmedByServer: true, notRun: false }),
  buildRelayHeaders: () => [],
} as unknown as RoutedProtocol

describe('PeerForwarder', () => {
  let head = ''
  let sent = ''
  const peer = net.createServer((socket) => {
    socket.on('error', () => undefined)
    socket.once('data', (data) => {
      sent = String(data)
      socket.end(`HTTP/1.1 ${head}\r\nrequest-id: q1\r\nconnection: close\r\n\r\n`)
    })
  })
  const clock = new SystemClock()
  const end = new AbortController()
  const forwarder = new PeerForwarder({
    clock,
    instance: 'e1',
    random: new RandomSource(1),
    agent: new BackendAgent(clock),
    protocol,
    contacts: { isPeerCutOff: () => false },
    listTargets: () => [],
    readConfigVersion: () => 1,
  })
  const open = (method: string, events = 0): Promise<ExchangeResponse> => {
    const deadline = clock.readTime() + 10_000
    const work = { requestId: 'q1', method, path: '/', rawHeaders: [], body: undefined, deadline, stream: { events } } as unknown as RoutedWork
    const target = { instance: 'b', address: `127.0.0.1:${(peer.address() as AddressInfo).port}`, forwardKey: 'k' }
    return forwarder.open(work, { target, attemptsLeft: 1, lastEventId: undefined, signal: end.signal })
  }

  before(() => new Promise<void>((resolve) => peer.listen(0, '127.0.0.1', resolve)))
  after(() => {
    end.abort()
    peer.close()
  })

  // An instance frames all its responses, so that such a body may have been broken off.
  it('rejects a response that has neither a length nor chunks', async () => {
    head = '200 OK'
    await assert.rejects(open('GET'), { code: 'ATTEMPT_FAILED_UNKNOWN' })
  })

  // Guards against a receiver that rejects the rest of a response as if it were a new request.
  it('tells the receiver when the client has received a part of the response', async () => {
    head = '204 No Content'
    for (const events of [0, 1]) {
      await open('GET', events)
      assert.equal(new RegExp(`^${ForwardHeaders.BEGUN}: 1\r$`, 'im').test(sent), events > 0)
    }
  })

  it('accepts responses without a body', async () => {
    for (const [method, status] of [['HEAD', '200 OK'], ['GET', '204 No Content'], ['GET', '304 Not Modified']] as const) {
      head = status
      assert.equal((await (await open(method)).readBody(0)).length, 0)
    }
  })
})
