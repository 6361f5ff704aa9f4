import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RandomSource } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { BOUNDS, RetryBudgetSimulation } from './RetryBudgetSimulation.js'

const NAMES = Array.from({ length: 8 }, (_, at) => `e${at}`)
/** Seconds without failures, in which retries are earned and not spent. */
const NO_FAILURE_S = 8
/** Allowed share of failures without a retry. */
const MAX_DENIED_SHARE = 0.06
/** Duration of a simulation, and request rate at each instance for a service with little traffic. */
const DURATION_S = 40
const REQUESTS_PER_S = 0.4
const RESTART_EVERY_S = 2
const SEEDS = Array.from({ length: 30 }, (_, at) => at + 1)

type Step =
  | { kind: 'requests', count: number, failing: number }
  | { kind: 'kill', first: number, count: number }
  | { kind: 'cut', one: number, other: number }
  | { kind: 'heal' }
  | { kind: 'pass', ms: number }

async function perform (simulation: RetryBudgetSimulation, step: Step): Promise<void> {
  const name = (at: number): string => NAMES[at % NAMES.length] as string
  if (step.kind === 'requests') {
    for (let at = 0; at < step.count; at++) await simulation.request(name(at), at % 10 < step.failing)
  } else if (step.kind === 'kill') {
    for (let at = 0; at < step.count; at++) simulation.restart(name(step.first + at))
  } else if (step.kind === 'cut') simulation.hub.cut(name(step.one), name(step.other))
  else if (step.kind === 'heal') simulation.hub.clearPartitions()
  else await simulation.clock.advance(step.ms)
}

/** Simulates traffic of which one in ten requests fails while instances are restarted in turn. */
async function simulateRestarts (seed: number, restartEveryS: number): Promise<RetryBudgetSimulation> {
  const simulation = new RetryBudgetSimulation(NAMES)
  const random = new RandomSource(seed)
  for (let second = 0; second < DURATION_S; second++) {
    if (second % restartEveryS === 0) simulation.restart(NAMES[second / restartEveryS % NAMES.length] as string)
    for (const name of NAMES) {
      if (random.readFraction() < REQUESTS_PER_S) await simulation.request(name, random.readFraction() < 0.1)
    }
    await simulation.clock.advance(1_000)
  }
  return simulation
}

describe('retry budgets of several instances', () => {
  it('stay within the common limit in every window despite restarts and network partitions', async () => {
    const step: fc.Arbitrary<Step> = fc.oneof(
      fc.record({ kind: fc.constant('requests' as const), count: fc.integer({ min: 20, max: 200 }), failing: fc.integer({ min: 5, max: 10 }) }),
      fc.record({ kind: fc.constant('kill' as const), first: fc.nat(7), count: fc.integer({ min: 1, max: 8 }) }),
      fc.record({ kind: fc.constant('cut' as const), one: fc.nat(7), other: fc.nat(7) }),
      fc.record({ kind: fc.constant('heal' as const) }),
      fc.record({ kind: fc.constant('pass' as const), ms: fc.nat(2_500) }),
    )
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 40 }), async (steps) => {
      const simulation = new RetryBudgetSimulation(NAMES)
      for (const each of steps) await perform(simulation, each)
      assert.ok(simulation.measureExcess() <= 1e-9, `${simulation.measureExcess()} too many`)
    }), { numRuns: 40, seed: 38 })
  })

  it('stay within the limit when all instances are killed repeatedly while nearly all requests fail', async () => {
    const simulation = new RetryBudgetSimulation(NAMES)
    for (let second = -NO_FAILURE_S; second < 24; second++) {
      for (let at = 0; at < 40; at++) await simulation.request(NAMES[at % NAMES.length] as string, second >= 0)
      if (second % 3 === 2 && second > 3) NAMES.forEach((name) => simulation.restart(name))
      await simulation.clock.advance(600)
    }
    assert.ok(simulation.measureExcess() <= 0, `${simulation.measureExcess()} too many`)
  })

  // Guards against counting clients twice that move to the remaining instance after the others have spent their budgets.
  it('stay within the limit when most instances are killed and all clients move to the remaining ones', async () => {
    const STEP_MS = 50
    const PER_STEP = 3
    const FAILS_FROM_S = 6
    for (const seed of SEEDS) {
      const random = new RandomSource(seed)
      const simulation = new RetryBudgetSimulation(NAMES)
      const killedAtMs = Math.floor(FAILS_FROM_S + 2 + seed * 0.65) * 1_000
      for (let ms = 0; ms < 30_000; ms += STEP_MS) {
        if (ms >= killedAtMs && ms < killedAtMs + STEP_MS) for (const name of NAMES.slice(1)) simulation.restart(name)
        for (let at = 0; at < PER_STEP; at++) simulation.requestWithoutDelay(random.pickOne(simulation.listRunning()), ms >= FAILS_FROM_S * 1_000)
        await simulation.clock.advance(STEP_MS)
      }
      assert.ok(simulation.measureExcess() <= 0, `seed ${seed}, killed at ${killedAtMs} ms: ${simulation.measureExcess()} too many`)
    }
  })

  // Guards against restarted instances that can't retry because they get no loans from their peers.
  it('allow most retries of a service with little traffic while instances are restarted in turn', async () => {
    const simulations = await Promise.all(SEEDS.map((seed) => simulateRestarts(seed, RESTART_EVERY_S)))
    const denied = simulations.reduce((sum, simulation) => sum + simulation.denied, 0)
    const failed = simulations.reduce((sum, simulation) => sum + simulation.denied + simulation.attempts.length, 0)
    assert.ok(denied <= MAX_DENIED_SHARE * failed, `${denied} of ${failed} denied`)
    for (const simulation of simulations) assert.ok(simulation.measureExcess() <= 0)
  })

  it('grant the whole fixed allowance to instances without a previous process run', async () => {
    const simulation = new RetryBudgetSimulation(NAMES)
    for (let at = 0; at < 400; at++) await simulation.request(NAMES[at % NAMES.length] as string, true)
    assert.ok(simulation.attempts.length >= BOUNDS.fixedAllowance)
  })
})
