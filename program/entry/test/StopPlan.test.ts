import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StopPlan } from '../src/index.js'

const STARTED_AT = 10_000

describe('a planned stop', () => {
  const plan = new StopPlan({ startedAt: STARTED_AT, graceMs: 8_000, directoryLifetimeMs: 1_500 })

  describe('for work that may outlast the grace time', () => {
    it('begins it while clients come with lists that were told before', () => {
      assert.equal(plan.mayStart(STARTED_AT + 2_700, STARTED_AT + 17_700), true)
    })

    it('refuses it later, since it would be cut', () => {
      assert.equal(plan.mayStart(STARTED_AT + 3_100, STARTED_AT + 18_100), false)
    })
  })

  it('begins short work as long as old lists may be used', () => {
    assert.equal(plan.mayStart(STARTED_AT + 4_400, STARTED_AT + 5_400), true)
    assert.equal(plan.mayStart(STARTED_AT + 4_600, STARTED_AT + 5_600), false)
  })

  it('ends before the grace time does', () => {
    assert.ok(plan.endsAt < STARTED_AT + 8_000)
    assert.ok(plan.servesUntil < plan.endsAt)
  })
})
