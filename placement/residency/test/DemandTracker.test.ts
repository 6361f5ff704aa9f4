import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { DemandTracker, sumByModel } from '../src/index.js'

describe('DemandTracker', () => {
  let clock: ManualClock
  let tracker: DemandTracker

  const report = (count: Partial<Parameters<DemandTracker['add']>[2]>, instance = 'e1', spanMs = 250): void => {
    tracker.add('a', instance, { requests: 0, ended: 0, heldMs: 0, readTokens: 0, inHand: 0, ...count }, spanMs)
  }
  const sendSteadily = async (requestsPerSecond: number, seconds: number): Promise<void> => {
    for (let tick = 0; tick < seconds * 4; tick++) {
      report({ requests: requestsPerSecond / 4 })
      await clock.advance(250)
    }
  }

  beforeEach(() => {
    clock = new ManualClock()
    tracker = new DemandTracker(clock)
  })

  it('reports no demand for a model without requests', () => {
    const { requestsPerSecond, slots, idleMs } = tracker.read('a')
    assert.deepEqual([requestsPerSecond, slots, idleMs], [0, 0, Infinity])
  })

  it('approximates a steady request rate', async () => {
    await sendSteadily(20, 30)
    const { requestsPerSecond } = tracker.read('a')
    assert.ok(Math.abs(requestsPerSecond - 20) < 3, `${requestsPerSecond}`)
  })

  it('reflects most of a steep rise within 1.5 seconds', async () => {
    await sendSteadily(1, 20)
    await sendSteadily(30, 1.5)
    assert.ok(tracker.read('a').requestsPerSecond > 12, `${tracker.read('a').requestsPerSecond}`)
  })

  it('does not treat a report over several seconds as a burst', () => {
    report({ requests: 80 }, 'e1', 8_000)
    const { requestsPerSecond } = tracker.read('a')
    assert.ok(requestsPerSecond > 5 && requestsPerSecond < 15, `${requestsPerSecond}`)
  })

  it('does not treat a single request as a rise', () => {
    report({ requests: 1 })
    assert.ok(tracker.read('a').requestsPerSecond < 0.3)
  })

  it('decays without requests and reports the idle time', async () => {
    await sendSteadily(20, 10)
    await clock.advance(20_000)
    assert.ok(tracker.read('a').requestsPerSecond < 1)
    assert.ok(tracker.read('a').idleMs >= 20_000)
  })

  it('learns for how long requests occupy their slots, so that slow models need more slots', async () => {
    for (let at = 0; at < 60; at++) report({ requests: 1, ended: 1, heldMs: 3_000 })
    assert.ok(Math.abs(tracker.read('a').heldMs - 3_000) < 50)
    await sendSteadily(10, 20)
    assert.ok(tracker.read('a').slots > 24)
  })

  it('learns the prefill time of prompts', async () => {
    for (let at = 0; at < 60; at++) report({ requests: 1, ended: 1, readTokens: 3_000 })
    await sendSteadily(10, 20)
    const { prefillMsPerSecond, requestsPerSecond } = tracker.read('a')
    assert.ok(Math.abs(prefillMsPerSecond - requestsPerSecond * 100) < 5, `${prefillMsPerSecond}`)
  })

  it('sums the requests in flight over all instances and ignores instances that have stopped reporting', async () => {
    report({ inHand: 30 }, 'e1')
    report({ inHand: 20 }, 'e2')
    assert.equal(tracker.read('a').slots, 50)
    await clock.advance(700)
    report({ inHand: 25 }, 'e2')
    await clock.advance(700)
    assert.equal(tracker.read('a').slots, 25)
  })

  it('sums the requests of a model over its adapters', () => {
    const count = { service: 's', model: 'a', requests: 1, ended: 1, heldMs: 500, readTokens: 100, inHand: 4 }
    const [sum, ...others] = sumByModel([{ ...count, adapter: undefined }, { ...count, adapter: 'a1' }, { ...count, adapter: 'a2' }])
    assert.deepEqual(others, [])
    assert.deepEqual(sum, { service: 's', model: 'a', adapter: undefined, requests: 3, ended: 3, heldMs: 1_500, readTokens: 300, inHand: 12 })
  })

  it('counts a waiting request until demand reports are due', async () => {
    tracker.recordWaiting('a')
    assert.ok(tracker.read('a').requestsPerSecond > 0.1)
    await clock.advance(1_100)
    assert.equal(tracker.read('a').requestsPerSecond, 0)
  })
})
