import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { LifeRecord } from '../src/index.js'

const SELF = 'e1'

describe('what a life of an instance knows of those before it', () => {
  let clock: ManualClock

  beforeEach(() => {
    clock = new ManualClock()
  })

  it('is nothing while the store has not been listed', async () => {
    const life = new LifeRecord(clock, false)
    await clock.advance(1_000)
    assert.deepEqual([life.readLifeMs(), life.readSharingMs()], [1_000, 0])
  })

  describe('when the whole system starts for the first time', () => {
    it('is that there was none, and that it shares once it knows all that start with it', () => {
      const life = new LifeRecord(clock, true)
      assert.deepEqual([life.readLifeMs(), life.readSharingMs()], [Infinity, 0])
      life.noteListing(new Set([SELF, 'e2']), SELF)
      life.noteListed()
      assert.equal(life.readSharingMs(), Infinity)
    })
  })

  describe('when the store names nobody', () => {
    it('is that there was none, and that nobody shares with it', () => {
      const life = new LifeRecord(clock, false)
      life.noteListing(new Set(), SELF)
      assert.deepEqual([life.readLifeMs(), life.readSharingMs()], [Infinity, Infinity])
    })
  })

  describe('when the store names others only', () => {
    it('is that there was none, but that those share with it only from the moment that they can hear of it', async () => {
      const life = new LifeRecord(clock, false)
      life.noteListing(new Set(['e2']), SELF)
      assert.deepEqual([life.readLifeMs(), life.readSharingMs()], [Infinity, 0])
      life.noteSharing()
      await clock.advance(500)
      life.noteSharing()
      assert.equal(life.readSharingMs(), 500)
    })
  })

  describe('when the store names this instance', () => {
    it('is that there may have been one, also after the listings that follow its own write', async () => {
      const life = new LifeRecord(clock, false)
      life.noteListing(new Set([SELF, 'e2']), SELF)
      life.noteSharing()
      await clock.advance(700)
      life.noteListing(new Set(['e2']), SELF)
      life.noteListed()
      assert.deepEqual([life.readLifeMs(), life.readSharingMs()], [700, 700])
    })
  })
})
