import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { OrderArrivals } from '../src/OrderArrivals.js'

const MAX_TRANSIT_MS = 12_000

// Guards against a successor that orders at a server which an order of a former holder may still reach (ONE).
describe('arrivals of orders at servers', () => {
  let clock: ManualClock
  let arrivals: OrderArrivals

  beforeEach(() => {
    clock = new ManualClock()
    arrivals = new OrderArrivals(clock)
  })

  describe('of this instance', () => {
    it('lie ahead by the longest transit while an order has no answer', async () => {
      arrivals.begin('s1')
      await clock.advance(2_000)
      assert.deepEqual(arrivals.list(0), [['s1', 2_000 - MAX_TRANSIT_MS]])
    })

    it('are known once the server has answered', async () => {
      const order = arrivals.begin('s1')
      await clock.advance(300)
      arrivals.settle(order)
      await clock.advance(200)
      assert.deepEqual(arrivals.describe('s1'), ['s1', 200])
    })

    it('lie ahead while an earlier copy has no answer', async () => {
      arrivals.begin('s1')
      await clock.advance(300)
      arrivals.settle(arrivals.begin('s1'))
      assert.deepEqual(arrivals.describe('s1'), ['s1', 300 - MAX_TRANSIT_MS])
    })

    it('do not count if nothing was sent', () => {
      arrivals.cancel(arrivals.begin('s1'))
      assert.deepEqual(arrivals.list(Infinity), [])
    })

    it('lie ahead of a later lease only if they have no answer', async () => {
      arrivals.settle(arrivals.begin('s1'))
      arrivals.begin('s2')
      await clock.advance(500)
      const leaseBeganAt = clock.readTime()
      arrivals.begin('s1')
      assert.equal(arrivals.readOwnSentBefore('s1', leaseBeganAt), -Infinity)
      assert.equal(arrivals.readOwnSentBefore('s2', leaseBeganAt), leaseBeganAt - 500 + MAX_TRANSIT_MS)
    })
  })

  describe('of other instances', () => {
    it('are replaced by what the same instance tells later', () => {
      arrivals.recordTold('e1', [['s1', -MAX_TRANSIT_MS]])
      arrivals.recordTold('e1', [['s1', 0]])
      assert.equal(arrivals.readOthers('s1'), clock.readTime())
    })

    it('count as the latest that any instance has told', () => {
      arrivals.recordTold('e1', [['s1', -5_000]])
      arrivals.recordTold('e2', [['s1', 0]])
      assert.equal(arrivals.readOthers('s1'), clock.readTime() + 5_000)
    })

    it('are bounded, whatever an instance tells', () => {
      arrivals.recordTold('e1', [['s1', -Infinity]])
      assert.equal(arrivals.readOthers('s1'), clock.readTime() + MAX_TRANSIT_MS)
    })

    it('are told on to the next holder', () => {
      arrivals.recordTold('e1', [['s1', -5_000], ['s2', 4_000]])
      assert.deepEqual(arrivals.list(3_000), [['s1', -5_000]])
    })
  })
})
