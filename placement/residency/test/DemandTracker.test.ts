import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { DemandTracker, sumByModel } from '../src/index.js'

describe('the demand for a model', () => {
  let clock: ManualClock
  let tracker: DemandTracker

  const tell = (count: Partial<Parameters<DemandTracker['add']>[2]>, from = 'e1', spanMs = 250): void => {
    tracker.add('a', from, { requests: 0, ended: 0, heldMs: 0, readTokens: 0, inHand: 0, ...count }, spanMs)
  }
  const askSteadily = async (requestsPerSecond: number, seconds: number): Promise<void> => {
    for (let tick = 0; tick < seconds * 4; tick++) {
      tell({ requests: requestsPerSecond / 4 })
      await clock.advance(250)
    }
  }

  beforeEach(() => {
    clock = new ManualClock()
    tracker = new DemandTracker(clock)
  })

  it('is nothing when nobody ever asked', () => {
    const { requestsPerSecond, places, idleMs } = tracker.read('a')
    assert.deepEqual([requestsPerSecond, places, idleMs], [0, 0, Infinity])
  })

  it('comes near the rate at which it is asked for', async () => {
    await askSteadily(20, 30)
    const { requestsPerSecond } = tracker.read('a')
    assert.ok(Math.abs(requestsPerSecond - 20) < 3, `${requestsPerSecond}`)
  })

  it('shows most of a steep rise within a second and a half', async () => {
    await askSteadily(1, 20)
    await askSteadily(30, 1.5)
    assert.ok(tracker.read('a').requestsPerSecond > 12, `${tracker.read('a').requestsPerSecond}`)
  })

  it('does not take for a rise what came together over seconds in which nobody ordered', () => {
    tell({ requests: 80 }, 'e1', 8_000)
    const { requestsPerSecond } = tracker.read('a')
    assert.ok(requestsPerSecond > 5 && requestsPerSecond < 15, `${requestsPerSecond}`)
  })

  it('does not take one request for a rise', () => {
    tell({ requests: 1 })
    assert.ok(tracker.read('a').requestsPerSecond < 0.3)
  })

  it('fades, and tells since when nobody asks', async () => {
    await askSteadily(20, 10)
    await clock.advance(20_000)
    assert.ok(tracker.read('a').requestsPerSecond < 1)
    assert.ok(tracker.read('a').idleMs >= 20_000)
  })

  it('learns for how long requests hold their places, so that slow models and slow servers count for more', async () => {
    for (let at = 0; at < 60; at++) tell({ requests: 1, ended: 1, heldMs: 3_000 })
    assert.ok(Math.abs(tracker.read('a').heldMs - 3_000) < 50)
    await askSteadily(10, 20)
    assert.ok(tracker.read('a').places > 24)
  })

  it('learns how long servers read its prompts', async () => {
    for (let at = 0; at < 60; at++) tell({ requests: 1, ended: 1, readTokens: 3_000 })
    await askSteadily(10, 20)
    const { readingMs, requestsPerSecond } = tracker.read('a')
    assert.ok(Math.abs(readingMs - requestsPerSecond * 100) < 5, `${readingMs}`)
  })

  it('counts what all instances have in hand, and forgets what one that fell silent had', async () => {
    tell({ inHand: 30 }, 'e1')
    tell({ inHand: 20 }, 'e2')
    assert.equal(tracker.read('a').places, 50)
    await clock.advance(700)
    tell({ inHand: 25 }, 'e2')
    await clock.advance(700)
    assert.equal(tracker.read('a').places, 25)
  })

  it('counts requests for all adapters of a model as requests for the model', () => {
    const none = { service: 's', model: 'a', requests: 1, ended: 1, heldMs: 500, readTokens: 100, inHand: 4 }
    const [sum, ...others] = sumByModel([{ ...none, adapter: undefined }, { ...none, adapter: 'a1' }, { ...none, adapter: 'a2' }])
    assert.deepEqual(others, [])
    assert.deepEqual(sum, { service: 's', model: 'a', adapter: undefined, requests: 3, ended: 3, heldMs: 1_500, readTokens: 300, inHand: 12 })
  })

  it('counts one who waits until the counts come that tell of it', async () => {
    tracker.noteWaiting('a')
    assert.ok(tracker.read('a').requestsPerSecond > 0.1)
    await clock.advance(1_100)
    assert.equal(tracker.read('a').requestsPerSecond, 0)
  })
})
