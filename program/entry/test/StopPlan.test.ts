import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StopPlan } from '../src/index.js'

const STARTED_AT = 10_000

describe('a planned stop', () => {
  const plan = new StopPlan({ startedAt: STARTED_AT, graceMs: 8_000, directoryLifetimeMs: 1_500 })

  describe('for requests that may outlast the grace period', () => {
    it('starts them while clients use old address lists', () => {
      assert.equal(plan.mayStart(STARTED_AT + 2_700, STARTED_AT + 17_700), true)
    })

    it('rejects them later, since they would be aborted', () => {
      assert.equal(plan.mayStart(STARTED_AT + 3_100, STARTED_AT + 18_100), false)
    })
  })

  it('starts short requests as long as old address lists may be used', () => {
    assert.equal(plan.mayStart(STARTED_AT + 4_400, STARTED_AT + 5_400), true)
    assert.equal(plan.mayStart(STARTED_AT + 4_600, STARTED_AT + 5_600), false)
  })

  it('ends before the grace period', () => {
    assert.ok(plan.endsAt < STARTED_AT + 8_000)
    assert.ok(plan.servesUntil < plan.endsAt)
  })
})
