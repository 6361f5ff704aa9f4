import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RandomSource } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { RECONNECT_GRACE_MS, PermitsSimulation, Strategies, type Strategy } from './PermitsSimulation.js'

const INSTANCES = { serving: 8, standby: 6 }
const LIMITS = [0, 0.5, 1, 4, 20]
/** Time for the pools to fill after the start. */
const WARM_UP_MS = 3_000
const DURATION_S = 20
/** Minimum share of a limit that callers can use while all instances are connected. */
const MIN_USED_SHARE = 0.9

type Step =
  | { kind: 'requests', count: number, at: number }
  | { kind: 'kill', first: number, count: number }
  | { kind: 'hold', one: number, other: number }
  | { kind: 'isolate', one: number }
  | { kind: 'heal' }
  | { kind: 'pass', ms: number }

async function perform (simulation: PermitsSimulation, step: Step): Promise<void> {
  const name = (at: number): string => simulation.serving[at % simulation.serving.length] as string
  if (step.kind === 'requests') for (let i = 0; i < step.count; i++) simulation.request(step.at + i)
  else if (step.kind === 'kill') for (let i = 0; i < step.count; i++) simulation.restart(name(step.first + i))
  else if (step.kind === 'hold') simulation.hold(name(step.one), name(step.other))
  else if (step.kind === 'isolate') for (const other of simulation.serving) simulation.hold(name(step.one), other)
  else if (step.kind === 'heal') simulation.heal()
  else await simulation.clock.advance(step.ms)
}

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('requests' as const), count: fc.integer({ min: 5, max: 60 }), at: fc.nat(7) }),
  fc.record({ kind: fc.constant('kill' as const), first: fc.nat(7), count: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ kind: fc.constant('hold' as const), one: fc.nat(7), other: fc.nat(7) }),
  fc.record({ kind: fc.constant('isolate' as const), one: fc.nat(7) }),
  fc.record({ kind: fc.constant('heal' as const) }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.nat(1_200) }),
)

/** Sends requests at a rate, distributed evenly at random over the first `instances` instances. */
async function simulateTraffic (simulation: PermitsSimulation, it: { perSecond: number, seconds: number, instances: number }): Promise<void> {
  const random = new RandomSource(7)
  for (let ms = 0; ms < it.seconds * 1_000; ms += 5) {
    if (random.readFraction() < it.perSecond / 200) simulation.request(Math.floor(random.readFraction() * it.instances))
    await simulation.clock.advance(5)
  }
}

describe('permits for a server with a rate limit', () => {
  it('never exceed the limit in any window despite restarts, network partitions and delayed messages', async () => {
    for (const limit of LIMITS) {
      await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 60 }), async (steps) => {
        const simulation = new PermitsSimulation(INSTANCES, limit)
        await simulation.clock.advance(WARM_UP_MS)
        for (const each of steps) await perform(simulation, each)
        assert.ok(simulation.measureExcess(limit) <= 0, `${simulation.measureExcess(limit)} too many of ${limit} a second`)
      }), { numRuns: 25, seed: 54 })
    }
  })

  it('stay within the limit and remain available with lost and duplicated messages', async () => {
    const simulation = new PermitsSimulation(INSTANCES, 4)
    Object.assign(simulation.hub, { lossProbability: 0.1, duplicateProbability: 0.1, maxDelayMs: 150 })
    await simulation.clock.advance(WARM_UP_MS)
    await simulateTraffic(simulation, { perSecond: 40, seconds: DURATION_S, instances: 8 })
    assert.ok(simulation.measureExcess(4) <= 0)
    assert.ok(simulation.sends.length >= DURATION_S * 4 * 0.5, `${simulation.sends.length}`)
  })

  for (const limit of LIMITS.filter((it) => it > 0)) {
    for (const instances of [8, 1]) {
      it(`use most of a limit of ${limit} per second with requests at ${instances} of eight instances`, async () => {
        const simulation = new PermitsSimulation(INSTANCES, limit)
        await simulation.clock.advance(WARM_UP_MS)
        await simulateTraffic(simulation, { perSecond: 10 * limit, seconds: DURATION_S, instances })
        const share = simulation.sends.length / DURATION_S / limit
        assert.ok(share >= MIN_USED_SHARE, `${share} of the limit`)
        assert.ok(simulation.measureExcess(limit) <= 0)
      })
    }
  }

  it('continue at the share of the remaining instances when half of the serving instances are removed', async () => {
    const simulation = new PermitsSimulation(INSTANCES, 4)
    await simulation.clock.advance(WARM_UP_MS)
    for (const name of simulation.serving.slice(4)) simulation.remove(name)
    await simulateTraffic(simulation, { perSecond: 40, seconds: DURATION_S, instances: 4 })
    const left = (INSTANCES.serving - 4 + INSTANCES.standby) / (INSTANCES.serving + INSTANCES.standby)
    const share = simulation.sends.length / DURATION_S / 4
    assert.ok(share >= MIN_USED_SHARE * left, `${share} of the limit, with ${left} of the instances`)
  })

  it('follow a lowered limit and are not needed once it is lifted', async () => {
    const simulation = new PermitsSimulation(INSTANCES, 20)
    await simulation.clock.advance(WARM_UP_MS)
    await simulateTraffic(simulation, { perSecond: 100, seconds: 4, instances: 8 })
    simulation.setLimit(1)
    const loweredAt = simulation.clock.readTime()
    await simulateTraffic(simulation, { perSecond: 100, seconds: 8, instances: 8 })
    assert.ok(simulation.measureExcess(1, loweredAt + RECONNECT_GRACE_MS) <= 0)
    simulation.setLimit(undefined)
    await simulation.clock.advance(100)
    const before = simulation.sends.length
    await simulateTraffic(simulation, { perSecond: 100, seconds: 1, instances: 8 })
    assert.ok(simulation.sends.length - before > 80)
  })
})

/** Faults to simulate under ten times the load that the limit allows. */
const Faults = {
  EVEN: { name: 'requests at all instances', instances: 8, everyMs: Infinity, inject: () => undefined },
  LOPSIDED: { name: 'requests at one instance only', instances: 1, everyMs: Infinity, inject: () => undefined },
  RESTARTS: { name: 'four of eight restarted every 1.5 s', instances: 8, everyMs: 1_500, inject: (simulation: PermitsSimulation) => simulation.serving.slice(0, 4).forEach((name) => simulation.restart(name)) },
  LINKS: { name: 'three of eight links of one held every 5 s', instances: 8, everyMs: 5_000, inject: (simulation: PermitsSimulation) => [1, 2, 3].forEach((at) => simulation.hold('e0', `e${at}`)) },
} as const
type Fault = typeof Faults[keyof typeof Faults]

// Set PULLEYSTACK_FIGURES=1 to print the figures of docs/design/limits-and-retries.md.
describe('three strategies to enforce a server\'s limit', () => {
  const simulate = async (strategy: Strategy, limit: number, { name, instances, everyMs, inject }: Fault): Promise<{ share: number, excess: number }> => {
    const simulation = new PermitsSimulation({ ...INSTANCES, strategy }, limit)
    await simulation.clock.advance(WARM_UP_MS)
    const before = simulation.hub.messageCount
    for (let ms = 0; ms < DURATION_S * 1_000; ms += 500) {
      if (ms > 0 && ms % everyMs === 0) inject(simulation)
      await simulateTraffic(simulation, { perSecond: 10 * limit, seconds: 0.5, instances })
    }
    const share = simulation.sends.length / DURATION_S / limit
    const excess = simulation.measureExcess(limit)
    const messages = Math.round((simulation.hub.messageCount - before) / DURATION_S)
    if (process.env['PULLEYSTACK_FIGURES'] !== undefined) console.log(`${strategy}, limit ${limit}, ${name}: ${share.toFixed(2)} of the limit, over by ${excess}, ${messages} messages a second`)
    return { share, excess }
  }

  for (const fault of Object.values(Faults)) {
    it(`differ with ${fault.name}; the pooled strategy stays within the limit`, async () => {
      for (const limit of [1, 4, 20]) {
        assert.ok((await simulate(Strategies.POOLED, limit, fault)).excess <= 0)
        for (const way of [Strategies.SINGLE_OWNER, Strategies.SHARES]) await simulate(way, limit, fault)
      }
    })
  }
})
