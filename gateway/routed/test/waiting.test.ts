import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock } from '@pulleystack/core.clock'
import { UsualWaits } from '../src/UsualWaits.js'
import { computeWaitBounds } from '../src/WaitPolicy.js'
import type { RoutedWork } from '../src/RoutedWork.js'

interface Asked {
  targetLatencyMs: number
  patienceMs?: number
  deadlineMs: number
  isReturning?: boolean
  generates?: boolean
}

function createWork (asked: Asked): RoutedWork {
  const { targetLatencyMs, patienceMs, deadlineMs, isReturning = false, generates = true } = asked
  const generation = generates ? { model: 'm', adapter: undefined, promptTokens: 1, outputTokens: 1, parts: [] } : undefined
  return { arrivedAt: 1_000, deadline: 1_000 + deadlineMs, isReturning, generation, route: { targetLatencyMs, patienceMs } } as unknown as RoutedWork
}

describe('how long a request waits for a place', () => {
  it('is less than a quarter of its latency target when it is new, so that its client hears in time that it should come back', () => {
    const { refuseAfterMs } = computeWaitBounds(createWork({ targetLatencyMs: 400, patienceMs: 2_000, deadlineMs: 12_000 }), DEFAULT_POLICY)
    assert.ok(refuseAfterMs > 0 && refuseAfterMs < 100, `${refuseAfterMs}`)
  })

  it('goes on for weights that come well within the latency target', () => {
    const { weightsWithinMs } = computeWaitBounds(createWork({ targetLatencyMs: 5_000, patienceMs: 20_000, deadlineMs: 20_000 }), DEFAULT_POLICY)
    assert.ok(weightsWithinMs >= 2_000 && weightsWithinMs < 5_000)
  })

  it('is longer for a client that was refused before, but never as long as it takes the client to leave', () => {
    const { refuseAfterMs } = computeWaitBounds(createWork({ targetLatencyMs: 400, patienceMs: 2_000, deadlineMs: 11_000, isReturning: true }), DEFAULT_POLICY)
    assert.ok(refuseAfterMs > 800 && refuseAfterMs < 1_700, `${refuseAfterMs}`)
  })

  it('leaves most of the time to the run, whatever the client\'s patience', () => {
    for (const isReturning of [false, true]) {
      const { longestMs } = computeWaitBounds(createWork({ targetLatencyMs: 500, patienceMs: 2_000, deadlineMs: 600, isReturning }), DEFAULT_POLICY)
      assert.ok(longestMs <= 240)
    }
  })

  it('is that of one who came back when early refusal is switched off, and bounded by the deadline alone without regard to patience', () => {
    const asked = { targetLatencyMs: 400, patienceMs: 2_000, deadlineMs: 12_000 }
    const late = computeWaitBounds(createWork(asked), { ...DEFAULT_POLICY, earlyRefusal: false })
    assert.ok(late.refuseAfterMs > 800)
    assert.equal(computeWaitBounds(createWork(asked), { ...DEFAULT_POLICY, patienceBound: false }).longestMs, 4_800)
  })

  it('is a share of the deadline for what needs no model', () => {
    const { refuseAfterMs } = computeWaitBounds(createWork({ targetLatencyMs: 200, deadlineMs: 2_500, generates: false }), DEFAULT_POLICY)
    assert.equal(refuseAfterMs, 1_000)
  })
})

describe('clients that come back after a refusal', () => {
  let clock: ManualClock
  let waits: UsualWaits

  beforeEach(() => {
    clock = new ManualClock()
    waits = new UsualWaits(clock)
  })

  it('are known by the time that is missing from what clients of the route usually give', () => {
    assert.equal(waits.noteWait('r', 12_000), false)
    assert.equal(waits.noteWait('r', 12_000), false)
    assert.equal(waits.noteWait('r', 11_200), true)
    assert.equal(waits.noteWait('other', 11_200), false)
  })

  it('are told from new ones again when clients give less time than they did', async () => {
    waits.noteWait('r', 12_000)
    for (let second = 0; second < 25; second++) {
      waits.noteWait('r', 6_000)
      await clock.advance(1_000)
    }
    assert.equal(waits.noteWait('r', 6_000), false)
  })
})
