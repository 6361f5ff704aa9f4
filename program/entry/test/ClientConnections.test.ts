import assert from 'node:assert/strict'
import http from 'node:http'
import net, { type AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { Worker } from 'node:worker_threads'
import { SystemClock } from '@pulleystack/core.clock'
import { ClientConnections, CloseReasons } from '../src/ClientConnections.js'

const IDLE_LIMIT_MS = 400
/** Longer than the limit and the second that Node adds to it. */
const HELD_UP_MS = 2_000
const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
/** Sends a request at once and another one just before the idle limit, and tells what came back. */
const LATE_CLIENT = `
  const { parentPort, workerData } = require('node:worker_threads')
  const socket = require('node:net').connect(workerData.port, '127.0.0.1')
  let received = ''
  socket.on('data', (chunk) => { received += chunk; if (received.length === chunk.length) parentPort.postMessage('first') })
  socket.on('error', () => undefined)
  socket.on('close', () => parentPort.postMessage(received))
  socket.write(workerData.request)
  setTimeout(() => socket.write(workerData.request), ${IDLE_LIMIT_MS} * 0.8)
`

const MAX_CONNECTIONS = 10
const WAITING_REQUEST = 'GET /wait HTTP/1.1\r\nHost: h\r\n\r\n'
/** More than one connection may send ahead. */
const AHEAD = 400
describe('connections of clients', () => {
  let server: http.Server
  let connections: ClientConnections
  let dropped: number
  let served: number

  const readPort = (): number => (server.address() as AddressInfo).port

  beforeEach(async () => {
    dropped = 0
    served = 0
    connections = new ClientConnections({
      maxConnections: MAX_CONNECTIONS,
      clock: new SystemClock(),
      serve: async (request, response) => {
        served++
        if (request.url === '/wait') await new Promise(() => undefined)
        response.end('ok')
      },
      onDropped: () => dropped++,
    })
    server = http.createServer({ keepAliveTimeout: IDLE_LIMIT_MS }, (request, response) => void connections.handle(request, response))
    server.on('connection', (socket) => connections.add(socket))
    server.on('timeout', (socket) => void connections.expire(socket))
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  })

  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  // A request that came just before the idle limit was reset unread, as timers run before reads once the process goes on.
  it('serve a request that came within the idle limit although the process was held up beyond it', async () => {
    const client = new Worker(LATE_CLIENT, { eval: true, workerData: { port: readPort(), request: REQUEST } })
    const messages: string[] = []
    const ended = new Promise<void>((resolve) => client.on('message', (message: string) => {
      messages.push(message)
      if (messages.length === 2) resolve()
      else holdUp(HELD_UP_MS)
    }))
    await ended
    assert.equal(messages[1]?.match(/200 OK/g)?.length, 2)
    await client.terminate()
  })

  it('drop, and tell of, a request that arrives after their close has begun', async () => {
    const socket = net.connect({ port: readPort(), host: '127.0.0.1', allowHalfOpen: true })
    socket.write(REQUEST)
    await new Promise((resolve) => socket.once('data', resolve))
    await new Promise((resolve) => setTimeout(resolve, IDLE_LIMIT_MS * 0.9))
    connections.closeIdle()
    await new Promise((resolve) => socket.once('end', resolve))
    socket.write(REQUEST)
    await new Promise((resolve) => setTimeout(resolve, 100))
    assert.deepEqual([served, dropped], [1, 1])
    assert.equal(connections.closed.get(CloseReasons.STOP), 1)
    socket.destroy()
  })

  // Clients that sent far ahead, or opened connections without end, made the process hold all of them.
  it('end when a client sends too many requests ahead, while others are served', async () => {
    const socket = net.connect({ port: readPort(), host: '127.0.0.1' })
    socket.on('error', () => undefined)
    socket.write(WAITING_REQUEST.repeat(AHEAD))
    await new Promise((resolve) => socket.once('close', resolve))
    assert.equal(connections.closed.get(CloseReasons.AHEAD), 1)
    const other = net.connect({ port: readPort(), host: '127.0.0.1' })
    other.write(REQUEST)
    await new Promise((resolve) => other.once('data', resolve))
    other.destroy()
  })

  it('make room for new ones: the one that was used the longest time ago ends, and none whose request is served', async () => {
    const open = async (text: string): Promise<net.Socket> => {
      const socket = net.connect({ port: readPort(), host: '127.0.0.1' })
      socket.on('error', () => undefined)
      await new Promise((resolve) => socket.once('connect', resolve))
      socket.write(text)
      await new Promise((resolve) => setTimeout(resolve, 5))
      return socket.resume()
    }
    const working = await open(WAITING_REQUEST)
    const incomplete = await open('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx')
    const others: net.Socket[] = []
    for (let opened = 2; opened < MAX_CONNECTIONS; opened++) others.push(await open('GET / HTTP/1.1\r\nHost: h'))
    const ended = new Promise((resolve) => incomplete.once('close', resolve))
    others.push(await open(''))
    await ended
    assert.deepEqual([working, ...others].map(({ destroyed }) => destroyed), Array.from({ length: MAX_CONNECTIONS }, () => false))
    assert.equal(connections.size, MAX_CONNECTIONS)
    assert.equal(connections.closed.get(CloseReasons.CROWDED), 1)
    for (const socket of [working, ...others]) socket.destroy()
  })
})

function holdUp (ms: number): void {
  const until = performance.now() + ms
  while (performance.now() < until);
}
