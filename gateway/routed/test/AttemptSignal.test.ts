import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { Subject } from 'rxjs'
import { ManualClock } from '@pulleystack/core.clock'
import { createAttemptSignal, type AttemptSignal } from '../src/AttemptSignal.js'
import type { RoutedWork } from '../src/RoutedWork.js'

const LONGEST_PAUSE_MS = 400
const EVENT_MS = 50
/** Three of the longest pauses. */
const STALL_MS = 1_200

// Guards against streams that stay on a path which was lost silently until they, and the requests that wait for their slots, can't end in time.
describe('a pause of a stream that is longer than its route allows', () => {
  let clock: ManualClock
  let work: RoutedWork
  let attempt: AttemptSignal
  let pauses: number[]

  const start = (isSilenceWatched = true): void => {
    attempt = createAttemptSignal(clock, work, {
      isSilenceWatched,
      reserveSwitch: () => true,
      onLongPause: () => pauses.push(clock.readTime()),
    })
  }
  const receiveEvent = (): void => {
    work.stream.events++
    attempt.recordActivity()
  }

  beforeEach(() => {
    clock = new ManualClock()
    pauses = []
    const route = { targetLatencyMs: LONGEST_PAUSE_MS, longestPauseMs: LONGEST_PAUSE_MS }
    work = { route, stream: { events: 0 }, signal: new AbortController().signal } as unknown as RoutedWork
  })

  it('is told once, long before it ends the attempt', async () => {
    start()
    receiveEvent()
    const pausedAt = clock.readTime()
    await clock.advance(LONGEST_PAUSE_MS)
    assert.deepEqual(pauses, [pausedAt + LONGEST_PAUSE_MS])
    await clock.advance(STALL_MS - LONGEST_PAUSE_MS - 1)
    assert.equal(attempt.signal.aborted, false)
    await clock.advance(1)
    assert.equal(attempt.signal.aborted, true)
    assert.equal(pauses.length, 1)
  })

  // What the next attempt needs was reserved twice, and the first of both never released.
  it('reserves what another attempt needs once, also when the path is lost after that', async () => {
    let reserved = 0
    const losses = new Subject<void>()
    const reserveSwitch = (): boolean => ++reserved > 0
    attempt = createAttemptSignal(clock, work, { isSilenceWatched: true, reserveSwitch, lostPath: losses })
    await clock.advance(2 * LONGEST_PAUSE_MS)
    assert.equal(attempt.signal.aborted, true)
    losses.next()
    await clock.advance(STALL_MS)
    assert.equal(reserved, 1)
  })

  // An overloaded service served fewer requests, as silent ones kept slots that others could have used in time.
  it('ends an attempt without a response where others wait for its slot, but no stream that has begun', async () => {
    attempt = createAttemptSignal(clock, work, { isSilenceWatched: true, reserveSwitch: () => false, isSlotAwaited: () => true, overdueMs: 2 * STALL_MS })
    await clock.advance(2 * LONGEST_PAUSE_MS)
    assert.equal(attempt.signal.aborted, true)
    attempt = createAttemptSignal(clock, work, { isSilenceWatched: true, reserveSwitch: () => false, isSlotAwaited: () => true })
    receiveEvent()
    await clock.advance(2 * STALL_MS)
    assert.equal(attempt.signal.aborted, false)
  })

  it('is told again after further events', async () => {
    start()
    for (let pause = 0; pause < 2; pause++) {
      receiveEvent()
      await clock.advance(2 * LONGEST_PAUSE_MS)
    }
    assert.equal(pauses.length, 2)
    assert.equal(attempt.signal.aborted, false)
  })

  it('is not told of a stream that keeps its pace, nor of one that has not begun', async () => {
    start()
    await clock.advance(LONGEST_PAUSE_MS)
    for (let event = 0; event < 2 * STALL_MS / EVENT_MS; event++) {
      receiveEvent()
      await clock.advance(EVENT_MS)
    }
    assert.deepEqual(pauses, [])
  })

  it('is not told while reading is paused for a slow client, nor where silence is not watched', async () => {
    start()
    receiveEvent()
    attempt.setPaused(true)
    await clock.advance(2 * STALL_MS)
    attempt.release()
    start(false)
    receiveEvent()
    await clock.advance(2 * STALL_MS)
    assert.deepEqual(pauses, [])
  })
})
