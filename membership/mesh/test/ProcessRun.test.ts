import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { ProcessRun } from '../src/index.js'

const SELF = 'e1'

describe('ProcessRun', () => {
  let clock: ManualClock

  beforeEach(() => {
    clock = new ManualClock()
  })

  it('assumes earlier runs until the store has been listed', async () => {
    const run = new ProcessRun(clock, false)
    await clock.advance(1_000)
    assert.deepEqual([run.readRunMs(), run.readServingMs()], [1_000, 0])
  })

  describe('when the whole system starts for the first time', () => {
    it('has no earlier run, and has always shared once it knows all instances that start with it', () => {
      const run = new ProcessRun(clock, true)
      assert.deepEqual([run.readRunMs(), run.readServingMs()], [Infinity, 0])
      run.recordListing(new Set([SELF, 'e2']), SELF)
      run.recordOwnListing()
      assert.equal(run.readServingMs(), Infinity)
    })
  })

  describe('when the store has no records', () => {
    it('has no earlier run, and no instance to share with', () => {
      const run = new ProcessRun(clock, false)
      run.recordListing(new Set(), SELF)
      assert.deepEqual([run.readRunMs(), run.readServingMs()], [Infinity, Infinity])
    })
  })

  describe('when the store has only records of other instances', () => {
    it('has no earlier run, but shares only since it became visible to the others', async () => {
      const run = new ProcessRun(clock, false)
      run.recordListing(new Set(['e2']), SELF)
      assert.deepEqual([run.readRunMs(), run.readServingMs()], [Infinity, 0])
      run.recordServing()
      await clock.advance(500)
      run.recordServing()
      assert.equal(run.readServingMs(), 500)
    })
  })

  describe('when the store has a record of this instance', () => {
    it('may have had an earlier run, also after later listings', async () => {
      const run = new ProcessRun(clock, false)
      run.recordListing(new Set([SELF, 'e2']), SELF)
      run.recordServing()
      await clock.advance(700)
      run.recordListing(new Set(['e2']), SELF)
      run.recordOwnListing()
      assert.deepEqual([run.readRunMs(), run.readServingMs()], [700, 700])
    })
  })
})
