import assert from 'node:assert/strict'
import net, { type AddressInfo } from 'node:net'
import { after, afterEach, before, describe, it } from 'node:test'
import { SystemClock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { BackendAgent, openExchange, type ExchangeOptions } from '../src/index.js'

const UPLOAD_BYTES = 8 << 20
const PART = 'a part of the body'
const MAX_BYTES = 1 << 20
/** Bytes of the upload that the server takes before it answers. */
const TAKEN_BYTES = [1, 64 << 10, 1 << 20]
/** Pauses of the server between its answer and the reset, in milliseconds. */
const PAUSES = [0, 1, 20]
/** How often each way is tried. */
const TRIES = 5

type Answer = (socket: net.Socket) => void

// Guards against MIXED: what a server sent before it reset its connection was passed on as a complete response.
describe('an exchange with a server that breaks off', () => {
  const clock = new SystemClock()
  const agent = new BackendAgent(clock)
  let server: net.Server
  let answer: Answer = () => undefined
  let takenBytes = 0

  before(async () => {
    server = net.createServer((socket) => {
      let taken = 0
      socket.on('error', () => undefined)
      const take = (chunk: Buffer): void => {
        taken += chunk.length
        if (taken < takenBytes) return
        socket.off('data', take)
        socket.pause()
        answer(socket)
      }
      socket.on('data', take)
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  })

  after(() => {
    agent.destroy()
    server.close()
  })

  afterEach(() => {
    takenBytes = 0
  })

  /** Sends a request and returns the whole response; rejects as the exchange does. */
  const exchange = async (body: Buffer | undefined): Promise<string> => {
    const options: ExchangeOptions = {
      agent,
      clock,
      protocol: { readResponse: () => ({ requestId: 'q', isConfirmedByServer: true, notRun: false }) },
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
      method: 'POST',
      path: '/',
      headers: ['Host', 'h', 'Content-Length', String(body?.length ?? 0)],
      body,
      requestId: 'q',
      connectTimeoutMs: 1_000,
      signal: new AbortController().signal,
    }
    const response = await openExchange(options)
    return `${response.status} ${(await response.readBody(MAX_BYTES)).toString()}`
  }

  const checkFailure = async (body: Buffer | undefined): Promise<void> => {
    await assert.rejects(exchange(body), (error) => error instanceof PulleystackError && error.code === 'ATTEMPT_FAILED_UNKNOWN')
  }

  for (const pauseMs of PAUSES) {
    it(`fails when the server answers without a length and resets ${pauseMs} ms later, while the upload is still being written`, async () => {
      answer = (socket) => {
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${PART}`, () => {
          if (pauseMs === 0) socket.resetAndDestroy()
          else setTimeout(() => socket.resetAndDestroy(), pauseMs)
        })
      }
      for (const bytes of TAKEN_BYTES) {
        takenBytes = bytes
        for (let attempt = 0; attempt < TRIES; attempt++) await checkFailure(Buffer.alloc(UPLOAD_BYTES))
      }
    })
  }

  for (const status of ['000', '099', '600', '999']) {
    it(`fails when the status is ${status}`, async () => {
      answer = (socket) => socket.end(`HTTP/1.1 ${status} Trouble\r\nContent-Length: 2\r\n\r\nok`)
      await checkFailure(undefined)
    })
  }

  it('succeeds with the response to a whole upload that only the close ends', async () => {
    takenBytes = 1_000
    answer = (socket) => {
      socket.resume()
      socket.end(`HTTP/1.1 200 OK\r\n\r\n${PART}`)
    }
    assert.equal(await exchange(Buffer.alloc(takenBytes)), `200 ${PART}`)
  })
})
