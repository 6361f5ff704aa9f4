import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { LoadBucket } from '../src/index.js'

const WINDOW_MS = 5_000
/** What the weight store allows in a window: its rate, a tenth over it, and three loads more. */
const OVER = 1.1
const EXTRA = 3

function countInBusiestWindow (times: readonly number[]): number {
  return Math.max(0, ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MS).length))
}

describe('the bucket of loads from the weight store', () => {
  it('never lets more begin in a window than the store allows, over any changes of holder', async () => {
    const step = fc.record({ waitMs: fc.integer({ min: 0, max: 1_500 }), asks: fc.integer({ min: 0, max: 12 }), isNewHolder: fc.boolean() })
    const steps = fc.array(step, { minLength: 1, maxLength: 60 })
    await fc.assert(fc.asyncProperty(steps, fc.double({ min: 0.2, max: 20, noNaN: true }), async (taken, rate) => {
      const clock = new ManualClock()
      let bucket = new LoadBucket(clock, () => rate)
      const begun: number[] = []
      for (const { waitMs, asks, isNewHolder } of taken) {
        await clock.advance(waitMs)
        // A successor knows nothing of what its predecessor has begun.
        if (isNewHolder) bucket = new LoadBucket(clock, () => rate)
        for (let asked = 0; asked < asks; asked++) if (bucket.take()) begun.push(clock.readTime())
      }
      assert.ok(countInBusiestWindow(begun) <= rate * WINDOW_MS / 1000 * OVER + EXTRA)
    }), { numRuns: 60 })
  })

  it('is empty after a change of holder and says when the next may begin', async () => {
    const clock = new ManualClock()
    const bucket = new LoadBucket(clock, () => 2)
    await clock.advance(5_000)
    assert.equal(bucket.take(), true)
    bucket.drain()
    assert.equal(bucket.take(), false)
    assert.equal(bucket.waitMs, 500)
  })
})
