import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { LoadBucket } from '../src/index.js'

const WINDOW_MS = 5_000
/** The weight store tolerates a tenth more than its rate in a window, and three additional loads. */
const RATE_TOLERANCE = 1.1
const EXTRA_LOADS = 3

function countInBusiestWindow (times: readonly number[]): number {
  return Math.max(0, ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MS).length))
}

describe('LoadBucket', () => {
  it('never allows more loads in a window than the weight store, across changes of the lease holder', async () => {
    const step = fc.record({ waitMs: fc.integer({ min: 0, max: 1_500 }), asks: fc.integer({ min: 0, max: 12 }), isNewHolder: fc.boolean() })
    const steps = fc.array(step, { minLength: 1, maxLength: 60 })
    await fc.assert(fc.asyncProperty(steps, fc.double({ min: 0.2, max: 20, noNaN: true }), async (chosenSteps, rate) => {
      const clock = new ManualClock()
      let bucket = new LoadBucket(clock, () => rate)
      const startTimes: number[] = []
      for (const { waitMs, asks, isNewHolder } of chosenSteps) {
        await clock.advance(waitMs)
        // A successor has no record of the loads that its predecessor started.
        if (isNewHolder) bucket = new LoadBucket(clock, () => rate)
        for (let asked = 0; asked < asks; asked++) if (bucket.take()) startTimes.push(clock.readTime())
      }
      assert.ok(countInBusiestWindow(startTimes) <= rate * WINDOW_MS / 1000 * RATE_TOLERANCE + EXTRA_LOADS)
    }), { numRuns: 60 })
  })

  it('is empty after drain and reports the time until the next load', async () => {
    const clock = new ManualClock()
    const bucket = new LoadBucket(clock, () => 2)
    await clock.advance(5_000)
    assert.equal(bucket.take(), true)
    bucket.drain()
    assert.equal(bucket.take(), false)
    assert.equal(bucket.waitMs, 500)
  })
})
