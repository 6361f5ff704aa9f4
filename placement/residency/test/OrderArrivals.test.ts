import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { MAX_TRANSIT_MS, OrderArrivals, parseArrivals } from '../src/OrderArrivals.js'

// Guards against a successor that orders at a server which an order of a former holder may still reach (ONE).
describe('arrivals of orders at servers', () => {
  let clock: ManualClock
  let arrivals: OrderArrivals

  beforeEach(() => {
    clock = new ManualClock()
    arrivals = new OrderArrivals(clock, 'e0@1')
  })

  describe('of this instance', () => {
    it('lie ahead by the longest transit while an order has no answer', async () => {
      arrivals.begin('s1')
      await clock.advance(2_000)
      assert.deepEqual(arrivals.list(0), [['s1', 2_000 - MAX_TRANSIT_MS, 'e0@1']])
    })

    it('are known once the server has answered', async () => {
      const order = arrivals.begin('s1')
      await clock.advance(300)
      arrivals.settle(order)
      await clock.advance(200)
      assert.deepEqual(arrivals.describeOwn('s1'), ['s1', 200, 'e0@1'])
    })

    it('lie ahead while an earlier copy has no answer', async () => {
      arrivals.begin('s1')
      await clock.advance(300)
      arrivals.settle(arrivals.begin('s1'))
      assert.deepEqual(arrivals.describeOwn('s1'), ['s1', 300 - MAX_TRANSIT_MS, 'e0@1'])
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

  describe('of other holders', () => {
    it('are replaced by what the holder tells later', () => {
      arrivals.recordOwn([['s1', -MAX_TRANSIT_MS, 'e1@1']])
      arrivals.recordOwn([['s1', 0, 'e1@1']])
      assert.equal(arrivals.readOthers('s1'), clock.readTime())
    })

    it('count as the latest that any instance knows of', () => {
      arrivals.recordOwn([['s1', -5_000, 'e1@1']])
      arrivals.recordTold([['s1', 0, 'e1@1'], ['s1', 100, 'e2@1']])
      assert.equal(arrivals.readOthers('s1'), clock.readTime() + 5_000)
    })

    it('are bounded, whatever an instance tells', () => {
      arrivals.recordTold([['s1', -Infinity, 'e1@1']])
      assert.equal(arrivals.readOthers('s1'), clock.readTime() + MAX_TRANSIT_MS)
    })

    it('are told on to the next holder', () => {
      arrivals.recordTold([['s1', -5_000, 'e1@1'], ['s2', 4_000, 'e1@1']])
      assert.deepEqual(arrivals.list(3_000), [['s1', -5_000, 'e1@1']])
    })

    // Guards against a holder that leaves a server alone because of an order of its own that a peer tells of.
    it('do not include those of this process, which others may tell of, but those of its former runs', () => {
      arrivals.recordTold([['s1', -5_000, 'e0@1'], ['s2', -5_000, 'e0@0']])
      assert.equal(arrivals.readOthers('s1'), -Infinity)
      assert.equal(arrivals.readOthers('s2'), clock.readTime() + 5_000)
    })

    it('are read item by item, also from earlier releases', () => {
      assert.deepEqual(parseArrivals([['s1', 5], ['s2', NaN], 'x', ['s3', 1, 'e2@1']], 'e1'), [['s1', 5, 'e1'], ['s3', 1, 'e2@1']])
      assert.deepEqual(parseArrivals(undefined, 'e1'), [])
    })
  })
})
