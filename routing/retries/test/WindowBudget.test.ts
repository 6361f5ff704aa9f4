import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import fc from 'fast-check'
import { ManualClock } from '@pulleystack/core.clock'
import { WindowBudget } from '../src/index.js'

const OPTS = { ratio: 0.2, fixedAllowance: 54, windowMs: 10_000 }

function countTakes (budget: WindowBudget): number {
  let takes = 0
  while (budget.take()) takes++
  return takes
}

describe('WindowBudget', () => {
  it('gives an instance its share of the fixed allowance, rounded down', () => {
    const budget = new WindowBudget({ ...OPTS, clock: new ManualClock(), countInstances: () => 7 })
    assert.equal(countTakes(budget), 7)
  })

  it('grows with the requests, and attempts count until their window has passed', async () => {
    const clock = new ManualClock()
    const budget = new WindowBudget({ ...OPTS, clock, countInstances: () => 54 })
    for (let i = 0; i < 50; i++) budget.recordRequest()
    assert.equal(countTakes(budget), 11)
    await clock.advance(8_000)
    assert.equal(countTakes(budget), 0)
    await clock.advance(4_000)
    assert.equal(countTakes(budget), 1)
  })

  it('counts attempts for a whole window, wherever they fall within a bucket', async () => {
    const clock = new ManualClock()
    const budget = new WindowBudget({ ...OPTS, clock, countInstances: () => 1 })
    await clock.advance(999)
    assert.equal(countTakes(budget), 54)
    await clock.advance(9_002)
    assert.equal(countTakes(budget), 0)
    await clock.advance(1_000)
    assert.equal(countTakes(budget), 54)
  })

  it('shrinks when instances join', () => {
    let instances = 1
    const budget = new WindowBudget({ ...OPTS, clock: new ManualClock(), countInstances: () => instances })
    for (let i = 0; i < 20; i++) assert.ok(budget.take())
    instances = 7
    assert.equal(budget.take(), false)
  })

  describe('with reserved permits', () => {
    let clock: ManualClock
    let budget: WindowBudget

    beforeEach(() => {
      clock = new ManualClock()
      budget = new WindowBudget({ ...OPTS, clock, countInstances: () => 27 })
    })

    it('counts reservations without a time limit', async () => {
      assert.ok(budget.reserve() && budget.reserve())
      assert.equal(budget.reserve(), undefined)
      await clock.advance(OPTS.windowMs * 3)
      assert.equal(budget.left, 0)
    })

    it('counts a permit as an attempt from the time of its use', async () => {
      const permit = budget.reserve()
      await clock.advance(OPTS.windowMs * 3)
      assert.equal(permit?.take(), true)
      await clock.advance(OPTS.windowMs)
      assert.equal(budget.left, 1)
      await clock.advance(OPTS.windowMs)
      assert.equal(budget.left, 2)
    })

    it('gets an unused permit back only once', () => {
      const permit = budget.reserve()
      permit?.release()
      permit?.release()
      assert.equal(budget.left, 2)
    })

    it('denies a permit after the budget has shrunk', () => {
      let instances = 27
      const shrinking = new WindowBudget({ ...OPTS, clock, countInstances: () => instances })
      const permit = shrinking.reserve()
      instances = 100
      assert.equal(permit?.take(), false)
    })
  })

  describe('with loans', () => {
    const USE_MS = 3_000
    let clock: ManualClock
    let budget: WindowBudget

    beforeEach(() => {
      clock = new ManualClock()
      budget = new WindowBudget({ ...OPTS, clock, countInstances: () => 6 })
    })

    it('lends at most half of what is left', () => {
      assert.deepEqual([budget.lend(20, USE_MS), budget.lend(20, USE_MS), budget.left], [5, 2, 2])
    })

    it('does not lend what is already spent', () => {
      for (let i = 0; i < 7; i++) budget.take()
      assert.deepEqual([budget.lend(4, USE_MS), budget.left], [1, 1])
    })

    it('lends no more than its share, even when requests have earned more', () => {
      for (let i = 0; i < 500; i++) budget.recordRequest()
      let lent = 0
      for (let i = 0; i < 20; i++) lent += budget.lend(20, USE_MS)
      assert.equal(lent, 9)
    })

    it('gets a loan back only when no window contains attempts of both instances', async () => {
      budget.lend(4, USE_MS)
      await clock.advance(USE_MS + OPTS.windowMs)
      assert.equal(countTakes(budget), 5)
      await clock.advance(OPTS.windowMs * 2)
      assert.equal(countTakes(budget), 9)
    })

    it('does not lend out borrowed retries', () => {
      const borrower = new WindowBudget({ ...OPTS, clock, countInstances: () => 6, ownsShare: () => false })
      borrower.borrow(4, USE_MS)
      assert.deepEqual([borrower.left, borrower.lend(1, USE_MS)], [4, 0])
    })
  })

  it('keeps all instances together within the limit in every window', async () => {
    const step = fc.record({ instance: fc.nat(2), requests: fc.nat(5), tries: fc.nat(20), ms: fc.nat(1_500) })
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
      const clock = new ManualClock()
      const budgets = [0, 1, 2].map(() => new WindowBudget({ ...OPTS, clock, countInstances: () => 3 }))
      const requests: number[] = []
      const attempts: number[] = []
      for (const { instance, requests: count, tries, ms } of steps) {
        const budget = budgets[instance] as WindowBudget
        for (let i = 0; i < count; i++) {
          budget.recordRequest()
          requests.push(clock.readTime())
        }
        for (let i = 0; i < tries; i++) if (budget.take()) attempts.push(clock.readTime())
        await clock.advance(ms)
      }
      for (const end of attempts) {
        const inWindow = (at: number): boolean => at <= end && at > end - OPTS.windowMs
        const allowed = OPTS.ratio * requests.filter((at) => at <= end && at > end - OPTS.windowMs).length + OPTS.fixedAllowance
        assert.ok(attempts.filter(inWindow).length <= allowed + 1e-9)
      }
    }), { numRuns: 60, seed: 5 })
  })
})
