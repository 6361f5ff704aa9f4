import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RandomSource } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { CONTACT_MS, PermitsBench, Ways, type Way } from './PermitsBench.js'

const FLEET = { serving: 8, standby: 6 }
const LIMITS = [0, 0.5, 1, 4, 20]
/** Time in which instances that begin together fill the pools. */
const LEAD_MS = 3_000
const SECONDS = 20
/** What callers are to get of a limit at the least, with all instances in touch. */
const LEAST_SHARE = 0.9

type Step =
  | { kind: 'requests', count: number, at: number }
  | { kind: 'kill', first: number, count: number }
  | { kind: 'hold', one: number, other: number }
  | { kind: 'isolate', one: number }
  | { kind: 'heal' }
  | { kind: 'pass', ms: number }

async function perform (bench: PermitsBench, step: Step): Promise<void> {
  const name = (at: number): string => bench.serving[at % bench.serving.length] as string
  if (step.kind === 'requests') for (let i = 0; i < step.count; i++) bench.request(step.at + i)
  else if (step.kind === 'kill') for (let i = 0; i < step.count; i++) bench.restart(name(step.first + i))
  else if (step.kind === 'hold') bench.hold(name(step.one), name(step.other))
  else if (step.kind === 'isolate') for (const other of bench.serving) bench.hold(name(step.one), other)
  else if (step.kind === 'heal') bench.heal()
  else await bench.clock.advance(step.ms)
}

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ kind: fc.constant('requests' as const), count: fc.integer({ min: 5, max: 60 }), at: fc.nat(7) }),
  fc.record({ kind: fc.constant('kill' as const), first: fc.nat(7), count: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ kind: fc.constant('hold' as const), one: fc.nat(7), other: fc.nat(7) }),
  fc.record({ kind: fc.constant('isolate' as const), one: fc.nat(7) }),
  fc.record({ kind: fc.constant('heal' as const) }),
  fc.record({ kind: fc.constant('pass' as const), ms: fc.nat(1_200) }),
)

/** Asks for `share` of what the limit allows for some seconds, at even odds at the first instances. */
async function playTraffic (bench: PermitsBench, it: { perSecond: number, seconds: number, instances: number }): Promise<void> {
  const random = new RandomSource(7)
  for (let ms = 0; ms < it.seconds * 1_000; ms += 5) {
    if (random.readFraction() < it.perSecond / 200) bench.request(Math.floor(random.readFraction() * it.instances))
    await bench.clock.advance(5)
  }
}

describe('the rights to send to a server that names a limit', () => {
  it('are no more than it takes in any window, whatever restarts, is cut off, or is held up on its way', async () => {
    for (const limit of LIMITS) {
      await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 60 }), async (steps) => {
        const bench = new PermitsBench(FLEET, limit)
        await bench.clock.advance(LEAD_MS)
        for (const each of steps) await perform(bench, each)
        assert.ok(bench.measureExcess(limit) <= 0, `${bench.measureExcess(limit)} too many of ${limit} a second`)
      }), { numRuns: 25, seed: 54 })
    }
  })

  it('are no more over lost and doubled messages, and used all the same', async () => {
    const bench = new PermitsBench(FLEET, 4)
    Object.assign(bench.hub, { lossShare: 0.1, repeatShare: 0.1, maxDelayMs: 150 })
    await bench.clock.advance(LEAD_MS)
    await playTraffic(bench, { perSecond: 40, seconds: SECONDS, instances: 8 })
    assert.ok(bench.measureExcess(4) <= 0)
    assert.ok(bench.sends.length >= SECONDS * 4 * 0.5, `${bench.sends.length}`)
  })

  for (const limit of LIMITS.filter((it) => it > 0)) {
    for (const instances of [8, 1]) {
      it(`leave little of ${limit} a second unused where requests come to ${instances} of eight instances`, async () => {
        const bench = new PermitsBench(FLEET, limit)
        await bench.clock.advance(LEAD_MS)
        await playTraffic(bench, { perSecond: 10 * limit, seconds: SECONDS, instances })
        const share = bench.sends.length / SECONDS / limit
        assert.ok(share >= LEAST_SHARE, `${share} of the limit`)
        assert.ok(bench.measureExcess(limit) <= 0)
      })
    }
  }

  it('go on at the part of those that are left when half of the instances have gone', async () => {
    const bench = new PermitsBench(FLEET, 4)
    await bench.clock.advance(LEAD_MS)
    for (const name of bench.serving.slice(4)) bench.remove(name)
    await playTraffic(bench, { perSecond: 40, seconds: SECONDS, instances: 4 })
    const left = (FLEET.serving - 4 + FLEET.standby) / (FLEET.serving + FLEET.standby)
    const share = bench.sends.length / SECONDS / 4
    assert.ok(share >= LEAST_SHARE * left, `${share} of the limit, with ${left} of the instances`)
  })

  it('follow a limit that falls and rises, and are not needed once it is taken back', async () => {
    const bench = new PermitsBench(FLEET, 20)
    await bench.clock.advance(LEAD_MS)
    await playTraffic(bench, { perSecond: 100, seconds: 4, instances: 8 })
    bench.name(1)
    const loweredAt = bench.clock.readTime()
    await playTraffic(bench, { perSecond: 100, seconds: 8, instances: 8 })
    assert.ok(bench.measureExcess(1, loweredAt + CONTACT_MS) <= 0)
    bench.name(undefined)
    await bench.clock.advance(100)
    const before = bench.sends.length
    await playTraffic(bench, { perSecond: 100, seconds: 1, instances: 8 })
    assert.ok(bench.sends.length - before > 80)
  })
})

/** What befalls the instances while ten times as much is asked for as the limit takes. */
const Troubles = {
  EVEN: { name: 'requests at all instances', instances: 8, everyMs: Infinity, strike: () => undefined },
  LOPSIDED: { name: 'requests at one instance', instances: 1, everyMs: Infinity, strike: () => undefined },
  RESTARTS: { name: 'four of eight restarted every 1.5 s', instances: 8, everyMs: 1_500, strike: (bench: PermitsBench) => bench.serving.slice(0, 4).forEach((name) => bench.restart(name)) },
  LINKS: { name: 'three of eight links of one held every 5 s', instances: 8, everyMs: 5_000, strike: (bench: PermitsBench) => [1, 2, 3].forEach((at) => bench.hold('e0', `e${at}`)) },
} as const
type Trouble = typeof Troubles[keyof typeof Troubles]

// Rerun with PULLEYSTACK_FIGURES=1 for the figures of docs/design/limits-and-retries.md.
describe('three ways to keep a server\'s limit', () => {
  const play = async (way: Way, limit: number, { name, instances, everyMs, strike }: Trouble): Promise<{ share: number, excess: number }> => {
    const bench = new PermitsBench({ ...FLEET, way }, limit)
    await bench.clock.advance(LEAD_MS)
    const before = bench.hub.messages
    for (let ms = 0; ms < SECONDS * 1_000; ms += 500) {
      if (ms > 0 && ms % everyMs === 0) strike(bench)
      await playTraffic(bench, { perSecond: 10 * limit, seconds: 0.5, instances })
    }
    const share = bench.sends.length / SECONDS / limit
    const excess = bench.measureExcess(limit)
    const messages = Math.round((bench.hub.messages - before) / SECONDS)
    if (process.env['PULLEYSTACK_FIGURES'] !== undefined) console.log(`${way}, limit ${limit}, ${name}: ${share.toFixed(2)} of the limit, over by ${excess}, ${messages} messages a second`)
    return { share, excess }
  }

  for (const trouble of Object.values(Troubles)) {
    it(`differ with ${trouble.name}; the one in use keeps it`, async () => {
      for (const limit of [1, 4, 20]) {
        assert.ok((await play(Ways.POOLED, limit, trouble)).excess <= 0)
        for (const way of [Ways.OWNED, Ways.PARTS]) await play(way, limit, trouble)
      }
    })
  }
})
