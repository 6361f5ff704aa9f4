import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { Subject } from 'rxjs'
import { ManualClock } from '@pulleystack/core.clock'
import { createAttemptSignal, type AttemptSignal } from '../src/AttemptSignal.js'
import type { RoutedWork } from '../src/RoutedWork.js'
import type { Takeover } from '../src/SilenceWatch.js'

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
      beginTakeover: () => ({ outcome: Promise.resolve(true), cancel: () => undefined }),
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
  it('begins one takeover at a time, also when the path is lost meanwhile', async () => {
    let begun = 0
    let settle: (hasBegun: boolean) => void = () => undefined
    const losses = new Subject<void>()
    const beginTakeover = (): Takeover => {
      begun++
      const outcome = new Promise<boolean>((resolve) => {
        settle = resolve
      })
      return { outcome, cancel: () => settle(false) }
    }
    attempt = createAttemptSignal(clock, work, { isSilenceWatched: true, beginTakeover, lostPath: losses })
    await clock.advance(2 * LONGEST_PAUSE_MS)
    losses.next()
    await clock.advance(STALL_MS)
    assert.equal(begun, 1)
    assert.equal(attempt.signal.aborted, false)
    settle(true)
    await clock.advance(0)
    assert.equal(attempt.signal.aborted, true)
    losses.next()
    await clock.advance(STALL_MS)
    assert.equal(begun, 1)
  })

  // A server at work was given up for its silence although no other attempt had begun.
  it('ends no attempt while none can take over, with and without a response', async () => {
    for (const isStreaming of [false, true]) {
      attempt = createAttemptSignal(clock, work, { isSilenceWatched: true, beginTakeover: () => undefined, overdueMs: LONGEST_PAUSE_MS })
      if (isStreaming) receiveEvent()
      await clock.advance(4 * STALL_MS)
      assert.equal(attempt.signal.aborted, false)
      attempt.release()
    }
  })

  it('cancels a takeover that has not begun when data arrives', async () => {
    let cancelled = 0
    const beginTakeover = (): Takeover => ({ outcome: new Promise(() => undefined), cancel: () => cancelled++ })
    attempt = createAttemptSignal(clock, work, { isSilenceWatched: true, beginTakeover })
    await clock.advance(2 * LONGEST_PAUSE_MS)
    receiveEvent()
    assert.equal(cancelled, 1)
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
