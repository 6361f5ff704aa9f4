import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import type http from 'node:http'
import { beforeEach, describe, it } from 'node:test'
import type { RouteTable } from '@pulleystack/config.routes'
import { ManualClock } from '@pulleystack/core.clock'
import { HeldBytes } from '@pulleystack/gateway.http'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { NEVER } from 'rxjs'
import { RoutedGateway, type RoutedGatewayOptions } from '../src/index.js'

const TIMEOUT_MS = 2_000
const LONGER_THAN_DEADLINES_MS = 60_000

/** A response that its client never reads. */
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

describe('RoutedGateway', () => {
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
      log: new NullDecisionLog(),
      protocol: { readRequest: () => ({ requestId: 'q' }), buildOwnHeaders: () => ({}) },
      suspects: { changes: NEVER },
      held: new HeldBytes({ maxBytes: 1 << 20, readTime: () => 0 }),
      readTable: () => table,
      mustClose: () => false,
      onOutcome: () => undefined,
      // Makes the gateway reject every request at once.
      mayStart: (deadline: number) => {
        deadlines.push(deadline)
        return false
      },
    } as unknown as RoutedGatewayOptions)
  })

  it('counts the deadline from the arrival of a request, not from its turn on the connection', async () => {
    await clock.advance(1_500)
    void handle(500)
    await clock.advance(0)
    assert.deepEqual(deadlines, [500 + TIMEOUT_MS])
  })

  describe('with a response that its client never reads', () => {
    beforeEach(() => {
      void handle()
    })

    it('counts the request as in flight while the client may still read', async () => {
      await clock.advance(TIMEOUT_MS)
      assert.equal(response.statusCode, 503)
      assert.equal(gateway.inFlight, 1)
    })

    it('closes the connection eventually, so that it does not delay a shutdown', async () => {
      await clock.advance(LONGER_THAN_DEADLINES_MS)
      assert.equal(response.isDestroyed, true)
      assert.equal(gateway.inFlight, 0)
    })
  })
})
