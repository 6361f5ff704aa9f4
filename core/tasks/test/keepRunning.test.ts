import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { keepRunning, taskFailures, type TaskFailure } from '../src/index.js'

// Guards against a background task whose error ends the process, or that never runs again.
describe('a background task', () => {
  let clock: ManualClock
  let ended: AbortController
  let failures: TaskFailure[]
  let starts: number
  let subscription: { unsubscribe: () => void }

  const start = (run: () => Promise<void>): void => keepRunning({
    task: 'test',
    clock,
    signal: ended.signal,
    run: () => {
      starts++
      return run()
    },
  })

  beforeEach(() => {
    clock = new ManualClock()
    ended = new AbortController()
    failures = []
    starts = 0
    subscription = taskFailures.subscribe((failure) => failures.push(failure))
  })

  afterEach(() => {
    ended.abort()
    subscription.unsubscribe()
  })

  it('starts again after a failure, which is reported with its name and error', async () => {
    const error = new Error('broken')
    start(() => starts < 3 ? Promise.reject(error) : clock.wait(1e9, ended.signal))
    await clock.advance(1_000)
    assert.equal(starts, 3)
    assert.deepEqual(failures, [{ task: 'test', error }, { task: 'test', error }])
  })

  it('starts at most every few seconds when it always fails', async () => {
    start(() => Promise.reject(new Error('broken')))
    await clock.advance(60_000)
    assert.ok(starts >= 12 && starts <= 20, `${starts} starts`)
  })

  it('does not start again once it has returned', async () => {
    start(() => Promise.resolve())
    await clock.advance(60_000)
    assert.equal(starts, 1)
  })

  it('does not start again once its signal is aborted', async () => {
    start(() => Promise.reject(new Error('broken')))
    ended.abort()
    await clock.advance(60_000)
    assert.equal(starts, 1)
  })
})
