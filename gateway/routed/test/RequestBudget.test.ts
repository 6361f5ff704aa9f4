import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RequestBudget } from '../src/RequestBudget.js'

const ARRIVED_AT = 10_000

describe('the budget of a request', () => {
  it('ends with the shorter of the client\'s wait and the limit of its route', () => {
    const budget = new RequestBudget({ arrivedAt: ARRIVED_AT, waitMs: 3_000 })
    assert.equal(budget.deadline, ARRIVED_AT + 3_000)
    budget.applyLimit(400)
    assert.equal(budget.deadline, ARRIVED_AT + 400)
    budget.applyLimit(5_000)
    assert.equal(budget.deadline, ARRIVED_AT + 400)
    assert.equal(budget.clientDeadline, ARRIVED_AT + 3_000)
  })

  it('has no end without either', () => {
    assert.equal(new RequestBudget({ arrivedAt: ARRIVED_AT, waitMs: undefined }).deadline, Infinity)
  })

  it('is never negative', () => {
    const budget = new RequestBudget({ arrivedAt: ARRIVED_AT, waitMs: 100 })
    assert.equal(budget.readLeftMs(ARRIVED_AT + 500), 0)
    assert.equal(budget.readUsedMs(ARRIVED_AT - 1), 0)
  })

  describe('of a request that another instance handed on', () => {
    const hop = { usedMs: 150, hopMs: 200 }

    it('goes on with what that instance and the way here used', () => {
      const budget = new RequestBudget({ arrivedAt: ARRIVED_AT, waitMs: 2_850, hop })
      budget.applyLimit(400)
      assert.equal(budget.readUsedMs(ARRIVED_AT), 350)
      assert.equal(budget.readLeftMs(ARRIVED_AT), 50)
    })

    it('tells how long the client waits in all', () => {
      assert.equal(new RequestBudget({ arrivedAt: ARRIVED_AT, waitMs: 2_850, hop }).clientWaitMs, 3_000)
    })
  })
})
