import assert from 'node:assert/strict'
import { once } from 'node:events'
import http from 'node:http'
import net, { type AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import type { ResponseFacts, RoutedProtocol } from '@pulleystack/backend.interfaces'
import { RandomSource, SystemClock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { filterEndToEndHeaders } from '@pulleystack/core.headers'
import { BackendAgent } from '@pulleystack/routing.forward'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { InstanceRelay, RelayHeaders, RelayPeers, type RelayTarget } from '../src/index.js'
import { ClientResponse } from '../src/ClientResponse.js'
import { RequestBudget } from '../src/RequestBudget.js'

const protocol = {
  readResponse: (_: number, headers: http.IncomingHttpHeaders): ResponseFacts => ({ requestId: headers['request-id'] as string | undefined, isConfirmedByServer: false, notRun: false }),
  buildRelayHeaders: (rawHeaders: readonly string[], waitMs: number | undefined) => [
    ...filterEndToEndHeaders(rawHeaders, new Set(['content-length'])),
    'left-ms',
    String(waitMs),
  ],
} as unknown as RoutedProtocol

const LEFT_MS = 60_000

describe('InstanceRelay', () => {
  let servers: http.Server[]
  let targets: RelayTarget[]
  let relay: InstanceRelay
  let front: http.Server

  const listen = async (server: http.Server): Promise<string> => {
    servers.push(server)
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }
  /** Starts another instance that has the given configuration version. */
  const startTarget = async (version: number, answer: http.RequestListener): Promise<void> => {
    const address = await listen(http.createServer((request, response) => {
      response.setHeader(RelayHeaders.VERSION, version)
      response.setHeader('request-id', String(request.headers['request-id']))
      answer(request, response)
    }))
    targets.push({ instance: `t${targets.length}`, address })
  }
  const createVersionedHandler = (version: number): http.RequestListener => (request, response) => {
    if (Number(request.headers[RelayHeaders.MIN_VERSION]) <= version) response.end(`by ${version}`)
    else response.writeHead(503, { [RelayHeaders.OUTDATED]: '1' }).end()
  }
  const sendRequest = async (signal?: AbortSignal): Promise<Response> => {
    const { port } = front.address() as AddressInfo
    return fetch(`http://127.0.0.1:${port}/a/b?c`, { method: 'POST', body: 'asked', headers: { 'request-id': 'q1' }, signal })
  }

  beforeEach(async () => {
    servers = []
    targets = []
    const clock = new SystemClock()
    const peers = new RelayPeers({ clock, random: new RandomSource(1), listTargets: () => targets })
    relay = new InstanceRelay({ clock, instance: 'r1', agent: new BackendAgent(clock), protocol, log: new NullDecisionLog(), peers })
    front = http.createServer((request, response) => {
      const client = new ClientResponse({ response, ownHeaders: {}, mustClose: () => false })
      const clientGone = new AbortController()
      response.once('close', () => clientGone.abort(new PulleystackError('CALLER_GONE', 'gone')))
      const { method = '', url: path = '', rawHeaders } = request
      const budget = new RequestBudget({ arrivedAt: clock.readTime(), waitMs: LEFT_MS })
      const work = { requestId: 'q1', method, path, rawHeaders, body: Buffer.from('asked'), budget, signal: clientGone.signal }
      relay.run(work, client).catch((error: PulleystackError) => client.sendError(error, 'q1'))
    })
    await listen(front)
  })

  afterEach(() => {
    for (const server of servers) {
      server.closeAllConnections()
      server.close()
    }
  })

  it('relays method, path, body and response unchanged, without the headers between instances', async () => {
    await startTarget(3, (request, response) => {
      void (async () => {
        let body = ''
        for await (const chunk of request as AsyncIterable<Buffer>) body += String(chunk)
        response.writeHead(207, { 'made-by': 's' }).end(`${request.method} ${request.url} ${body}`)
      })()
    })
    const answer = await sendRequest()
    assert.equal(answer.status, 207)
    assert.equal(await answer.text(), 'POST /a/b?c asked')
    assert.equal(answer.headers.get('made-by'), 's')
    assert.equal(answer.headers.get(RelayHeaders.VERSION), null)
    assert.equal(relay.newestVersion, 3)
  })

  it('forwards the remaining time instead of the original one', async () => {
    await startTarget(3, (request, response) => response.end(request.headers['left-ms']))
    const remainingMs = Number(await (await sendRequest()).text())
    assert.ok(remainingMs > 0 && remainingMs <= LEFT_MS, `${remainingMs}`)
  })

  it('tries the next instance if one is unreachable', async () => {
    targets.push({ instance: 'gone', address: '127.0.0.1:1' })
    await startTarget(3, createVersionedHandler(3))
    assert.equal(await (await sendRequest()).text(), 'by 3')
  })

  it('never serves a request with an older configuration than an earlier one', async () => {
    await startTarget(5, createVersionedHandler(5))
    assert.equal(await (await sendRequest()).text(), 'by 5')
    targets = []
    await startTarget(4, createVersionedHandler(4))
    const rejection = await sendRequest()
    assert.equal(rejection.status, 503)
    assert.ok(rejection.headers.get('retry-after') !== null)
    await startTarget(6, createVersionedHandler(6))
    assert.equal(await (await sendRequest()).text(), 'by 6')
  })

  it('reports a request as not run if no instance is reachable, but not once it has been sent', async () => {
    targets.push({ instance: 'gone', address: '127.0.0.1:1' })
    const client = {} as ClientResponse
    const work = { requestId: 'q1', method: 'POST', path: '/', rawHeaders: [], body: undefined, budget: new RequestBudget({ arrivedAt: 0, waitMs: undefined }), signal: new AbortController().signal }
    await assert.rejects(relay.run(work, client), (error: PulleystackError) => error.ran === Ran.NO)
    targets = []
    await startTarget(3, (request) => request.socket.destroy())
    assert.equal((await sendRequest()).status, 502)
  })

  it('relays a stream as it arrives, and never makes an interrupted one look complete', async () => {
    let destroyResponse: () => void = () => undefined
    await startTarget(3, (_, response) => {
      response.write('data: 1\n\n')
      destroyResponse = () => response.destroy()
    })
    const answer = await sendRequest()
    const reader = answer.body?.getReader()
    assert.equal(new TextDecoder().decode((await reader?.read())?.value), 'data: 1\n\n')
    destroyResponse()
    await assert.rejects(async () => reader?.read())
  })

  // An instance frames all its responses, so that such a body may have been broken off.
  it('rejects a response that has neither a length nor chunks', async () => {
    const target = net.createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => socket.end('HTTP/1.1 200 OK\r\nrequest-id: q1\r\nconnection: close\r\n\r\nhalf'))
    })
    await new Promise<void>((resolve) => target.listen(0, '127.0.0.1', resolve))
    targets.push({ instance: 't', address: `127.0.0.1:${(target.address() as AddressInfo).port}` })
    const { status } = await sendRequest()
    target.close()
    assert.equal(status, 502)
  })

  it('relays a response that has no body', async () => {
    await startTarget(3, (_, response) => response.writeHead(204).end())
    assert.equal((await sendRequest()).status, 204)
  })

  it('aborts the request at the other instance when its client disconnects', async () => {
    const clientAbort = new AbortController()
    let resolveClosed: (value: unknown) => void = () => undefined
    const closed = new Promise((resolve) => {
      resolveClosed = resolve
    })
    await startTarget(3, (_, response) => {
      response.once('close', resolveClosed)
      clientAbort.abort()
    })
    await assert.rejects(sendRequest(clientAbort.signal))
    await closed
  })
})
