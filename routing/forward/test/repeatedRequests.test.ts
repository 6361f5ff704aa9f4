import assert from 'node:assert/strict'
import { once } from 'node:events'
import net, { type AddressInfo, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { SystemClock } from '@pulleystack/core.clock'
import { convertToError, Ran } from '@pulleystack/core.errors'
import { BackendAgent, openExchange } from '../src/index.js'

const MAX_BODY_BYTES = 1_000

function renderResponse (status: number, requestId: string, headers = ''): string {
  return `HTTP/1.1 ${status} Status\r\nRequest-Id: ${requestId}\r\n${headers}Content-Length: 0\r\n\r\n`
}

const REFUSAL = { status: 503, headers: 'Refused: 1\r\n' } as const
const FAILURE = { status: 500, headers: '' } as const

/** What the server does with one request, in the order of arrival. */
interface Step {
  /** Repeats an earlier response on its connection before it handles the request. */
  duplicates?: string
  response: { status: number, headers: string }
}

// Guards against a duplicate of a server's refusal that passes for the response to a repetition of the request, so that an unsafe request is run twice.
describe('a request that is repeated after its server failed it', () => {
  let server: net.Server
  let sockets: Socket[]
  let steps: Step[]
  /** Ids of the requests that the server ran, and all connections that carried each id. */
  let runs: string[]
  let connections: Map<string, Socket[]>
  let agent: BackendAgent

  const handle = (socket: Socket, requestId: string): void => {
    const step = steps.shift() ?? { response: { status: 200, headers: '' } }
    const carried = connections.get(requestId) ?? []
    const { duplicates } = step
    if (duplicates !== undefined && connections.get(duplicates)?.includes(socket)) socket.write(renderResponse(REFUSAL.status, duplicates, REFUSAL.headers))
    connections.set(requestId, [...carried, socket])
    if (step.response !== REFUSAL) runs.push(requestId)
    socket.write(renderResponse(step.response.status, requestId, step.response.headers))
  }

  /** Resolves with the status, or with what the failure says of whether the request ran. */
  const send = async (requestId: string): Promise<number | Ran> => {
    try {
      const response = await openExchange({
        agent,
        protocol: {
          readResponse: (_, headers) => ({ requestId: String(headers['request-id']), isConfirmedByServer: true, notRun: headers['refused'] !== undefined }),
        },
        clock: new SystemClock(),
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        method: 'POST',
        path: '/',
        headers: ['Request-Id', requestId, 'Content-Length', '0'],
        body: undefined,
        requestId,
        connectTimeoutMs: 1_000,
        signal: new AbortController().signal,
      })
      await response.readBody(MAX_BODY_BYTES)
      return response.status
    } catch (thrown) {
      return convertToError(thrown).ran
    } finally {
      // The agent takes the connection back in a later turn of the event loop.
      await new Promise((resolve) => setTimeout(resolve, 2))
    }
  }

  beforeEach(async () => {
    sockets = []
    steps = []
    runs = []
    connections = new Map()
    agent = new BackendAgent(new SystemClock())
    server = net.createServer((socket) => {
      sockets.push(socket)
      socket.on('error', () => undefined)
      socket.on('data', (bytes) => {
        const requestId = /^request-id: (.*)$/im.exec(bytes.toString('latin1'))?.[1]
        handle(socket, requestId ?? '')
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(async () => {
    agent.destroy()
    sockets.forEach((socket) => socket.destroy())
    await new Promise((resolve) => server.close(resolve))
  })

  it('gets the response to the repetition, not a duplicate of the first one', async () => {
    steps = [{ response: REFUSAL }, { duplicates: 'a', response: { status: 200, headers: '' } }]
    assert.equal(await send('a'), Ran.NO)
    assert.equal(await send('a'), 200)
    assert.deepEqual(runs, ['a'])
  })

  it('gets it also when the connection has carried other requests in between', async () => {
    steps = [{ response: REFUSAL }, { response: { status: 200, headers: '' } }, { duplicates: 'a', response: { status: 200, headers: '' } }]
    assert.equal(await send('a'), Ran.NO)
    assert.equal(await send('b'), 200)
    assert.equal(await send('a'), 200)
  })

  it('gets it when it is refused again and again', async () => {
    const refusals = Array.from({ length: 5 }, () => ({ duplicates: 'a', response: REFUSAL }))
    steps = [...refusals, { duplicates: 'a', response: { status: 200, headers: '' } }]
    for (let at = 0; at < refusals.length; at++) assert.equal(await send('a'), Ran.NO)
    assert.equal(await send('a'), 200)
    assert.deepEqual(runs, ['a'])
    assert.equal(new Set(connections.get('a')).size, refusals.length + 1)
  })

  it('is repeated on another connection after a response with an error status', async () => {
    steps = [{ response: FAILURE }]
    assert.equal(await send('a'), 500)
    assert.equal(await send('a'), 200)
    assert.equal(new Set(connections.get('a')).size, 2)
  })

  it('leaves the connections that failed it to other requests', async () => {
    steps = [{ response: REFUSAL }]
    await send('a')
    await send('a')
    for (const id of ['b', 'c', 'd']) assert.equal(await send(id), 200)
    assert.equal(agent.openedConnections, 2)
  })

  it('does not let a connection remember refused requests without bound', async () => {
    const COUNT = 1_000
    steps = Array.from({ length: COUNT }, () => ({ response: REFUSAL }))
    for (let at = 0; at < COUNT; at++) await send(`r${at}`)
    assert.ok(agent.openedConnections > 1 && agent.openedConnections < COUNT / 100, `${agent.openedConnections} connections`)
  })
})
