import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ManualClock, type CancelTimer } from '@pulleystack/core.clock'
import { TimerDelay } from '../src/TimerDelay.js'

/** Runs every timer `delayMs` late. */
class LateClock extends ManualClock {
  delayMs = 0

  override setTimer (ms: number, task: () => void): CancelTimer {
    return super.setTimer(ms + this.delayMs, task)
  }
}

describe('timer delay', () => {
  let clock: LateClock
  let delay: TimerDelay
  let ended: AbortController
  let reported: number[]

  beforeEach(() => {
    clock = new LateClock()
    reported = []
    delay = new TimerDelay(clock, (ms) => reported.push(ms))
    ended = new AbortController()
    delay.start(ended.signal)
  })

  afterEach(() => ended.abort())

  it('is zero while timers are on time', async () => {
    await clock.advance(3_000)
    assert.equal(delay.longestMs, 0)
    assert.deepEqual(reported, [])
  })

  describe('after a late timer', () => {
    beforeEach(async () => {
      clock.delayMs = 300
      await clock.advance(1_300)
      clock.delayMs = 0
      await clock.advance(1_000)
    })

    it('is the longest delay of the last samples', () => {
      assert.equal(delay.longestMs, 300)
    })

    it('is reported', () => assert.deepEqual(reported, [300, 300]))

    it('expires with its sample', async () => {
      await clock.advance(6_000)
      assert.equal(delay.longestMs, 0)
    })
  })
})
