import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { RatePool } from '../src/index.js'
import { BOUNDS, LimitsSimulation, Strategies, createQuota, type Strategy } from './LimitsSimulation.js'

/** Quota of a small team in tokens per second, and tokens per request. */
const SMALL_RATE = 29_000
const REQUEST_TOKENS = 9_400
const LARGE_RATE = 400_000
/** Time for the pools to fill after the start. */
const WARM_UP_MS = 3_000
const SERVING = 8
const INSTANCES = { serving: SERVING, standby: 6 }
const SEEDS = [1, 2, 3, 4]

type Step =
  | { kind: 'requests', count: number, units: number, at: number }
  | { kind: 'kill', first: number, count: number }
  | { kind: 'hold', one: number, other: number }
  | { kind: 'isolate', one: number }
  | { kind: 'heal' }
  | { kind: 'pass', ms: number }

async function perform (simulation: LimitsSimulation, step: Step): Promise<void> {
  const name = (at: number): string => simulation.serving[at % simulation.serving.length] as string
  if (step.kind === 'requests') for (let i = 0; i < step.count; i++) simulation.request(step.at + i, step.units)
  else if (step.kind === 'kill') for (let i = 0; i < step.count; i++) simulation.restart(name(step.first + i))
  else if (step.kind === 'hold') simulation.hold(name(step.one), name(step.other))
  else if (step.kind === 'isolate') for (const other of simulation.serving) simulation.hold(name(step.one), other)
  else if (step.kind === 'heal') simulation.heal()
  else await simulation.clock.advance(step.ms)
}

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('requests' as const), count: fc.integer({ min: 5, max: 60 }), units: fc.integer({ min: 200, max: 40_000 }), at: fc.nat(7) }),
  fc.record({ kind: fc.constant('kill' as const), first: fc.nat(7), count: fc.integer({ min: 1, max: 8 }) }),
  fc.record({ kind: fc.constant('hold' as const), one: fc.nat(7), other: fc.nat(7) }),
  fc.record({ kind: fc.constant('isolate' as const), one: fc.nat(7) }),
  fc.record({ kind: fc.constant('heal' as const) }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.nat(1_200) }),
)

interface Traffic {
  rate: number
  units: number
  share: number
  seconds: number
  seed: number
  onMs?: (ms: number) => void
}

/** Sends requests for `share` of a team's quota, distributed evenly at random over all instances. */
async function simulateTraffic (simulation: LimitsSimulation, it: Traffic): Promise<void> {
  const random = new RandomSource(it.seed)
  const perMs = it.rate * it.share / it.units / 1000
  for (let ms = 0; ms < it.seconds * 1000; ms += 5) {
    it.onMs?.(ms)
    for (let due = perMs * 5; due > 0; due -= 1) {
      if (random.readFraction() < due) simulation.request(Math.floor(random.readFraction() * SERVING), it.units)
    }
    await simulation.clock.advance(5)
  }
}

describe('the quota of a team across all instances', () => {
  it('is not exceeded in any window despite restarts, network partitions and delayed messages', async () => {
    for (const rate of [SMALL_RATE, LARGE_RATE]) {
      await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 60 }), async (steps) => {
        const simulation = new LimitsSimulation(INSTANCES, createQuota(rate))
        await simulation.clock.advance(WARM_UP_MS)
        for (const each of steps) await perform(simulation, each)
        assert.ok(simulation.measureExcess(createQuota(rate)) <= 0, `${simulation.measureExcess(createQuota(rate))} too many`)
      }), { numRuns: 25, seed: 41 })
    }
  })

  it('is not exceeded with lost and duplicated messages', async () => {
    const simulation = new LimitsSimulation(INSTANCES, createQuota(SMALL_RATE))
    Object.assign(simulation.hub, { lossProbability: 0.1, duplicateProbability: 0.1, maxDelayMs: 150 })
    await simulation.clock.advance(WARM_UP_MS)
    await simulateTraffic(simulation, { rate: SMALL_RATE, units: REQUEST_TOKENS, share: 7, seconds: 20, seed: 1 })
    assert.ok(simulation.measureExcess(createQuota(SMALL_RATE)) <= 0)
    assert.ok(simulation.uses.length > 0)
  })

  it('rejects no request below the quota without failures', async () => {
    for (const seed of SEEDS) {
      const simulation = new LimitsSimulation({ ...INSTANCES, seed }, createQuota(LARGE_RATE))
      await simulation.clock.advance(WARM_UP_MS)
      await simulateTraffic(simulation, { rate: LARGE_RATE, units: REQUEST_TOKENS, share: 0.8, seconds: 10, seed })
      assert.equal(simulation.rejected, 0)
    }
  })

  it('can be used completely under overload', async () => {
    const simulation = new LimitsSimulation(INSTANCES, createQuota(LARGE_RATE))
    await simulation.clock.advance(WARM_UP_MS)
    await simulateTraffic(simulation, { rate: LARGE_RATE, units: REQUEST_TOKENS, share: 7, seconds: 8, seed: 1 })
    const used = simulation.uses.reduce((sum, use) => sum + use.units, 0)
    assert.ok(used >= LARGE_RATE * 8, `${used} of ${LARGE_RATE * 9}`)
  })

  it('admits a request larger than the burst when the pool is full', async () => {
    const simulation = new LimitsSimulation(INSTANCES, createQuota(SMALL_RATE))
    await simulation.clock.advance(WARM_UP_MS)
    simulation.request(0, SMALL_RATE * 1.5)
    await simulation.clock.advance(100)
    assert.equal(simulation.uses.length, 1)
  })

  it('gives rejected requests different retry delays, bounded by the time that requests wait', async () => {
    const clock = new ManualClock()
    const pool = new RatePool({ clock, bounds: BOUNDS, countInstances: () => 1 }, createQuota(SMALL_RATE))
    pool.addTime(1_000)
    pool.take(SMALL_RATE)
    const retryDelays = Array.from({ length: 100 }, () => pool.take(REQUEST_TOKENS)).flatMap((verdict) => verdict.isGranted ? [] : [verdict.retryAfterMs])
    assert.ok((retryDelays[1] ?? 0) - (retryDelays[0] ?? 0) >= REQUEST_TOKENS / SMALL_RATE * 1000 * 0.9)
    assert.ok(Math.max(...retryDelays) <= BOUNDS.windowMs * 1.5)
  })

  it('applies as soon as it is lowered', async () => {
    const simulation = new LimitsSimulation(INSTANCES, createQuota(LARGE_RATE))
    await simulation.clock.advance(WARM_UP_MS)
    simulation.setQuota(createQuota(SMALL_RATE))
    await simulateTraffic(simulation, { rate: SMALL_RATE, units: REQUEST_TOKENS, share: 7, seconds: 12, seed: 1 })
    assert.ok(simulation.measureExcess(createQuota(SMALL_RATE)) <= 0)
  })

  it('does not count units that were returned', async () => {
    const simulation = new LimitsSimulation(INSTANCES, createQuota(SMALL_RATE))
    await simulation.clock.advance(WARM_UP_MS)
    let granted = 0
    for (let at = 0; at < 40; at++) {
      simulation.request(at, REQUEST_TOKENS, (isGranted) => {
        if (isGranted) granted++
        if (isGranted) simulation.release(at, REQUEST_TOKENS)
      })
      await simulation.clock.advance(20)
    }
    assert.equal(granted, 40)
  })

  describe('when instances fail', () => {
    it('is available again soon after a failure of its owner', async () => {
      const simulation = new LimitsSimulation(INSTANCES, createQuota(LARGE_RATE))
      await simulation.clock.advance(WARM_UP_MS)
      // One after the other, so that the owner is among them.
      for (const name of simulation.serving) {
        simulation.restart(name)
        await simulateTraffic(simulation, { rate: LARGE_RATE, units: REQUEST_TOKENS, share: 0.5, seconds: 1, seed: 1 })
      }
      const share = simulation.rejected / (simulation.rejected + simulation.uses.length)
      assert.ok(share < 0.05, `${share} rejected`)
    })

    it('bounds the wait for unresponsive instances', async () => {
      const simulation = new LimitsSimulation(INSTANCES, createQuota(LARGE_RATE))
      await simulation.clock.advance(WARM_UP_MS)
      for (const one of simulation.serving.slice(0, 4)) for (const other of simulation.serving) simulation.hold(one, other)
      await simulateTraffic(simulation, { rate: LARGE_RATE, units: REQUEST_TOKENS, share: 0.5, seconds: 4, seed: 1 })
      assert.ok(Math.max(...simulation.waitsMs) <= 1_000)
      assert.ok(simulation.measureExcess(createQuota(LARGE_RATE)) <= 0)
    })
  })
})

/** Faults to simulate, with the requested share of the quota. */
const Faults = {
  CALM: { name: 'no faults', share: 0.8, everyMs: Infinity, inject: () => undefined },
  RESTARTS: { name: 'five of eight instances restarted every 1.5 s', share: 7, everyMs: 1_500, inject: (simulation: LimitsSimulation) => simulation.serving.slice(0, 5).forEach((name) => simulation.restart(name)) },
  CUT: { name: 'all instances partitioned from each other', share: 7, everyMs: 20_000, inject: (simulation: LimitsSimulation) => simulation.serving.forEach((one) => simulation.serving.forEach((other) => simulation.hold(one, other))) },
} as const
type Fault = typeof Faults[keyof typeof Faults]

const SECONDS = 10

// Set PULLEYSTACK_FIGURES=1 to print the figures of docs/design/shifted-work.md.
describe('two strategies to enforce a quota', () => {
  const simulate = async (strategy: Strategy, seed: number, { name, share, everyMs, inject }: Fault): Promise<LimitsSimulation> => {
    const simulation = new LimitsSimulation({ ...INSTANCES, seed, strategy }, createQuota(LARGE_RATE))
    await simulation.clock.advance(WARM_UP_MS)
    const before = simulation.hub.messageCount
    const onMs = (ms: number): void => {
      if (ms % everyMs === 0) inject(simulation)
    }
    await simulateTraffic(simulation, { rate: LARGE_RATE, units: REQUEST_TOKENS, share, seconds: SECONDS, seed, onMs })
    if (process.env['PULLEYSTACK_FIGURES'] !== undefined) {
      const used = simulation.uses.reduce((sum, use) => sum + use.units, 0) / LARGE_RATE / SECONDS
      const excess = Math.round(simulation.measureExcess(createQuota(LARGE_RATE)))
      console.log(`${name}: ${strategy}, seed ${seed}: used ${used.toFixed(2)} of the rate, rejected ${simulation.rejected}, over by ${excess}, ${Math.round((simulation.hub.messageCount - before) / SECONDS)} messages a second`)
    }
    return simulation
  }

  for (const fault of Object.values(Faults)) {
    it(`differ in the requests that they admit with ${fault.name}`, async () => {
      for (const seed of SEEDS) {
        const pooled = await simulate(Strategies.POOLED, seed, fault)
        const counted = await simulate(Strategies.COUNTED, seed, fault)
        assert.ok(pooled.measureExcess(createQuota(LARGE_RATE)) <= 0)
        assert.equal(counted.measureExcess(createQuota(LARGE_RATE)) > 0, fault === Faults.CUT)
      }
    })
  }
})
