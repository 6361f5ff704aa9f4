import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RandomSource } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { BOUNDS, BudgetBench } from './BudgetBench.js'

const NAMES = Array.from({ length: 8 }, (_, at) => `e${at}`)
/** Seconds in which nothing fails, so that much is earned that is not spent. */
const CALM_S = 8
/** Share of failures that may go without a further attempt. */
const MAX_DENIED = 0.06
/** Seconds of a day, and requests a second at each instance, of a service with little traffic. */
const DAY_S = 40
const LITTLE_PER_S = 0.4
const RESTART_EVERY_S = 2
const SEEDS = Array.from({ length: 30 }, (_, at) => at + 1)

type Step =
  | { kind: 'requests', count: number, failing: number }
  | { kind: 'kill', first: number, count: number }
  | { kind: 'cut', one: number, other: number }
  | { kind: 'heal' }
  | { kind: 'pass', ms: number }

async function perform (bench: BudgetBench, step: Step): Promise<void> {
  const name = (at: number): string => NAMES[at % NAMES.length] as string
  if (step.kind === 'requests') {
    for (let at = 0; at < step.count; at++) await bench.request(name(at), at % 10 < step.failing)
  } else if (step.kind === 'kill') {
    for (let at = 0; at < step.count; at++) bench.restart(name(step.first + at))
  } else if (step.kind === 'cut') bench.hub.cut(name(step.one), name(step.other))
  else if (step.kind === 'heal') bench.hub.healAll()
  else await bench.clock.advance(step.ms)
}

/** Plays a day on which one in ten requests fails and instances are restarted in turn. */
async function playRestarts (seed: number, restartEveryS: number): Promise<BudgetBench> {
  const bench = new BudgetBench(NAMES)
  const random = new RandomSource(seed)
  for (let second = 0; second < DAY_S; second++) {
    if (second % restartEveryS === 0) bench.restart(NAMES[second / restartEveryS % NAMES.length] as string)
    for (const name of NAMES) {
      if (random.readFraction() < LITTLE_PER_S) await bench.request(name, random.readFraction() < 0.1)
    }
    await bench.clock.advance(1_000)
  }
  return bench
}

describe('the budgets of several instances', () => {
  it('keep their common bound in every window, whatever restarts and whoever is cut off', async () => {
    const step: fc.Arbitrary<Step> = fc.oneof(
      fc.record({ kind: fc.constant('requests' as const), count: fc.integer({ min: 20, max: 200 }), failing: fc.integer({ min: 5, max: 10 }) }),
      fc.record({ kind: fc.constant('kill' as const), first: fc.nat(7), count: fc.integer({ min: 1, max: 8 }) }),
      fc.record({ kind: fc.constant('cut' as const), one: fc.nat(7), other: fc.nat(7) }),
      fc.record({ kind: fc.constant('heal' as const) }),
      fc.record({ kind: fc.constant('pass' as const), ms: fc.nat(2_500) }),
    )
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), async (steps) => {
      const bench = new BudgetBench(NAMES)
      for (const each of steps) await perform(bench, each)
      assert.ok(bench.measureExcess() <= 1e-9, `${bench.measureExcess()} too many`)
    }), { numRuns: 40, seed: 38 })
  })

  it('keep it when all are killed again and again while nearly all fails', async () => {
    const bench = new BudgetBench(NAMES)
    for (let second = -CALM_S; second < 24; second++) {
      for (let at = 0; at < 40; at++) await bench.request(NAMES[at % NAMES.length] as string, second >= 0)
      if (second % 3 === 2 && second > 3) NAMES.forEach((name) => bench.restart(name))
      await bench.clock.advance(600)
    }
    assert.ok(bench.measureExcess() <= 0, `${bench.measureExcess()} too many`)
  })

  // Seen: 193 further attempts within 10 s where 192 were allowed. Seven of eight instances were killed after they had spent what their requests of the
  // last 10 s had earned. Clients went to the eighth, which earned by their requests again, so that the window held what two windows' requests had earned.
  it('keep it when most are killed and all clients go to those that are left', async () => {
    const STEP_MS = 50
    const PER_STEP = 3
    const FAILS_FROM_S = 6
    for (const seed of SEEDS) {
      const random = new RandomSource(seed)
      const bench = new BudgetBench(NAMES)
      const killAtMs = Math.floor(FAILS_FROM_S + 2 + seed * 0.65) * 1_000
      for (let ms = 0; ms < 30_000; ms += STEP_MS) {
        if (ms >= killAtMs && ms < killAtMs + STEP_MS) for (const name of NAMES.slice(1)) bench.restart(name)
        for (let at = 0; at < PER_STEP; at++) bench.requestAtOnce(random.pickOne(bench.listLiving()), ms >= FAILS_FROM_S * 1_000)
        await bench.clock.advance(STEP_MS)
      }
      assert.ok(bench.measureExcess() <= 0, `seed ${seed}, killed at ${killAtMs} ms: ${bench.measureExcess()} too many`)
    }
  })

  // What callers lose by the bound: one in ten requests fails here while an instance is restarted every 2 s, so that each is new for most of the time.
  // 19 of 335 failures are denied a further attempt; without loans it would be 215, and none if each life had its whole part again.
  it('leave a service with little traffic its further attempts while instances are restarted in turn', async () => {
    const days = await Promise.all(SEEDS.map((seed) => playRestarts(seed, RESTART_EVERY_S)))
    const denied = days.reduce((sum, day) => sum + day.denied, 0)
    const failed = days.reduce((sum, day) => sum + day.denied + day.attempts.length, 0)
    assert.ok(denied <= MAX_DENIED * failed, `${denied} of ${failed} denied`)
    for (const day of days) assert.ok(day.measureExcess() <= 0)
  })

  it('give all of the extra to those that never ran before', async () => {
    const bench = new BudgetBench(NAMES)
    for (let at = 0; at < 400; at++) await bench.request(NAMES[at % NAMES.length] as string, true)
    assert.ok(bench.attempts.length >= BOUNDS.extra)
  })
})
