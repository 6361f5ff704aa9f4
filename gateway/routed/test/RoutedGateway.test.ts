import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import type http from 'node:http'
import { beforeEach, describe, it } from 'node:test'
import type { RouteTable } from '@pulleystack/config.routes'
import { ManualClock } from '@pulleystack/core.clock'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { NEVER } from 'rxjs'
import { RoutedGateway, type RoutedGatewayOptions } from '../src/index.js'

const TIMEOUT_MS = 2_000
/** Longer than any deadline. */
const LONG_MS = 60_000

/** An answer that its client never takes. */
class UnreadResponse extends EventEmitter {
  readonly req = { socket: new EventEmitter(), complete: true }
  headersSent = false
  writableFinished = false
  writableEnded = false
  statusCode = 0
  isDestroyed = false

  writeHead (status: number): void {
    this.statusCode = status
    this.headersSent = true
  }

  end (): void {
    this.writableEnded = true
  }

  destroy (): void {
    this.isDestroyed = true
    this.req.socket.emit('close')
  }
}

describe('the gateway for routed requests', () => {
  let clock: ManualClock
  let deadlines: number[]
  let gateway: RoutedGateway
  let response: UnreadResponse

  const request = { headers: { host: 'h' }, url: '/a/b' } as http.IncomingMessage
  const handle = (arrivedAt?: number): Promise<void> => gateway.handle(request, response as unknown as http.ServerResponse, arrivedAt)

  beforeEach(() => {
    clock = new ManualClock()
    deadlines = []
    response = new UnreadResponse()
    const table = { config: { version: 1 }, findRoute: () => ({ name: 'r', timeoutMs: TIMEOUT_MS }) } as unknown as RouteTable
    gateway = new RoutedGateway({
      clock,
      log: new SilentDecisionLog(),
      protocol: { readRequest: () => ({ requestId: 'q' }), buildOwnHeaders: () => ({}) },
      suspects: { changes: NEVER },
      readTable: () => table,
      mustClose: () => false,
      onOutcome: () => undefined,
      // Nothing may begin, so that each request is refused at once.
      mayBegin: (deadline: number) => {
        deadlines.push(deadline)
        return false
      },
    } as unknown as RoutedGatewayOptions)
  })

  it('counts the time of a request from its arrival, not from its turn on the connection', async () => {
    await clock.advance(1_500)
    void handle(500)
    await clock.advance(0)
    assert.deepEqual(deadlines, [500 + TIMEOUT_MS])
  })

  describe('with an answer that its client never takes', () => {
    beforeEach(() => {
      void handle()
    })

    it('has it in hand while the client may still read', async () => {
      await clock.advance(TIMEOUT_MS)
      assert.equal(response.statusCode, 503)
      assert.equal(gateway.inFlight, 1)
    })

    it('ends the connection in the end, so that a stop need not wait for it', async () => {
      await clock.advance(LONG_MS)
      assert.equal(response.isDestroyed, true)
      assert.equal(gateway.inFlight, 0)
    })
  })
})
