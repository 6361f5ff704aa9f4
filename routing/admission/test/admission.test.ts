import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { FirstTries, RecentMean, RecentRate, compareUrgency, estimateWaits, judgeWait, type Candidate, type QueueFacts } from '../src/index.js'

/** Ten places come free in a second. */
const CALM: QueueFacts = { heldMs: 1_000, running: 10, ownLeftMs: [], arrivalsPerSecond: 2, ahead: 0, waiting: 1, waitingElsewhere: 0 }

function createCandidate (changes: Partial<Candidate> = {}): Candidate {
  return { priority: 0, dueAt: 800, latestAt: 2_000, ...changes }
}

function nameInOrder (candidates: Record<string, Candidate>, now: number): string[] {
  return Object.entries(candidates).sort(([, a], [, b]) => compareUrgency(a, b, now)).map(([name]) => name)
}

describe('the order of those who wait', () => {
  it('is by class, then the earliest due of those who can be in time, then those who are late in any case', () => {
    const candidates = {
      late: createCandidate({ dueAt: 900 }),
      soon: createCandidate({ dueAt: 1_100 }),
      then: createCandidate({ dueAt: 1_200 }),
      lesser: createCandidate({ priority: 1, dueAt: 1_050 }),
    }
    assert.deepEqual(nameInOrder(candidates, 1_000), ['soon', 'then', 'late', 'lesser'])
  })

  it('lets the one who leaves first come first among those who are late', () => {
    assert.deepEqual(nameInOrder({ patient: createCandidate({ dueAt: 0, latestAt: 9_000 }), leaving: createCandidate({ dueAt: 500 }) }, 1_000), ['leaving', 'patient'])
  })
})

describe('how long a place is waited for', () => {
  it('grows with those ahead and with those who wait elsewhere', () => {
    assert.equal(estimateWaits(CALM).lateMs, 125)
    assert.equal(estimateWaits({ ...CALM, ahead: 4, waiting: 5 }).lateMs, 625)
    assert.equal(estimateWaits({ ...CALM, arrivalsPerSecond: 0, waiting: 2, waitingElsewhere: 6 }).lateMs, 400)
  })

  it('allows for places that come free by chance where the wait is to be in time', () => {
    assert.equal(estimateWaits(CALM).inTimeMs, 200)
    assert.equal(estimateWaits({ ...CALM, ahead: 8, waiting: 9 }).inTimeMs, 1_200)
  })

  it('is as long as the requests of this instance show, when all began at one moment', () => {
    const justBegun = { ...CALM, arrivalsPerSecond: 0, ownLeftMs: [900, 900, 900, 950, 1_000] }
    assert.equal(estimateWaits(justBegun).lateMs, 900)
    assert.equal(estimateWaits({ ...justBegun, ahead: 8, waiting: 9 }).lateMs, 1_000)
    assert.equal(estimateWaits({ ...justBegun, ahead: 10, waiting: 11 }).lateMs, 1_900)
  })

  it('has no end for the late while all places go to those who come meanwhile', () => {
    assert.equal(estimateWaits({ ...CALM, arrivalsPerSecond: 10 }).lateMs, Infinity)
    assert.equal(estimateWaits({ ...CALM, arrivalsPerSecond: 5 }).lateMs, 200)
    assert.equal(estimateWaits({ ...CALM, running: 0 }).inTimeMs, Infinity)
  })
})

describe('a request that finds no place', () => {
  it('waits when it will be served in time, whatever the load behind it', () => {
    assert.deepEqual(judgeWait(createCandidate(), { inTimeMs: 700, lateMs: Infinity }, 0), { mayWait: true })
  })

  it('waits when it will be served late, but before its client leaves', () => {
    assert.deepEqual(judgeWait(createCandidate(), { inTimeMs: 1_200, lateMs: 1_900 }, 0), { mayWait: true })
    assert.deepEqual(judgeWait(createCandidate(), { inTimeMs: 100, lateMs: 900 }, 1_000), { mayWait: true })
  })

  it('is refused as soon as it is known that it will not be served', () => {
    assert.deepEqual(judgeWait(createCandidate(), { inTimeMs: 1_200, lateMs: 2_500 }, 0), { mayWait: false, expectedMs: 2_500 })
    assert.deepEqual(judgeWait(createCandidate(), { inTimeMs: 100, lateMs: 1_100 }, 1_000), { mayWait: false, expectedMs: 1_100 })
  })
})

describe('what was seen lately', () => {
  let clock: ManualClock

  beforeEach(() => {
    clock = new ManualClock()
  })

  it('gives the rate of events that come evenly, and forgets them', async () => {
    const rates = new RecentRate(clock)
    for (let at = 0; at < 100; at++) {
      rates.add('m')
      await clock.advance(100)
    }
    assert.ok(Math.abs(rates.read('m') - 10) < 1, `${rates.read('m')}`)
    await clock.advance(10_000)
    assert.ok(rates.read('m') < 0.1)
    assert.equal(rates.read('other'), 0)
  })

  it('moves a mean to the newest samples', () => {
    const means = new RecentMean()
    assert.equal(means.read('m'), undefined)
    means.add('m', 100)
    assert.equal(means.read('m'), 100)
    for (let at = 0; at < 50; at++) means.add('m', 400)
    assert.ok((means.read('m') ?? 0) > 390)
  })

  it('knows the time since a client\'s first try by what is missing from the usual time', () => {
    const tries = new FirstTries(clock)
    assert.equal(tries.noteTry('r', 12_000), 0)
    assert.equal(tries.noteTry('r', 12_000), 0)
    assert.equal(tries.noteTry('r', 11_200), 800)
    assert.equal(tries.noteTry('other', 11_200), 0)
  })

  it('takes no client for one that comes back when all give less time than they did', async () => {
    const tries = new FirstTries(clock)
    tries.noteTry('r', 12_000)
    for (let second = 0; second < 25; second++) {
      tries.noteTry('r', 6_000)
      await clock.advance(1_000)
    }
    assert.equal(tries.noteTry('r', 6_000), 0)
  })
})
