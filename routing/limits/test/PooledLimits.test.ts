import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { RatePool } from '../src/index.js'
import { BOUNDS, LimitsBench, Ways, createQuota, type Way } from './LimitsBench.js'

/** Tokens a second of a small team, and of a prompt of its requests. */
const SMALL = 29_000
const PROMPT = 9_400
const LARGE = 400_000
/** Time in which instances that begin together fill the pools. */
const LEAD_MS = 3_000
const SERVING = 8
const FLEET = { serving: SERVING, standby: 6 }
const SEEDS = [1, 2, 3, 4]

type Step =
  | { kind: 'requests', count: number, units: number, at: number }
  | { kind: 'kill', first: number, count: number }
  | { kind: 'hold', one: number, other: number }
  | { kind: 'isolate', one: number }
  | { kind: 'heal' }
  | { kind: 'pass', ms: number }

async function perform (bench: LimitsBench, step: Step): Promise<void> {
  const name = (at: number): string => bench.serving[at % bench.serving.length] as string
  if (step.kind === 'requests') for (let i = 0; i < step.count; i++) bench.request(step.at + i, step.units)
  else if (step.kind === 'kill') for (let i = 0; i < step.count; i++) bench.restart(name(step.first + i))
  else if (step.kind === 'hold') bench.hold(name(step.one), name(step.other))
  else if (step.kind === 'isolate') for (const other of bench.serving) bench.hold(name(step.one), other)
  else if (step.kind === 'heal') bench.heal()
  else await bench.clock.advance(step.ms)
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

/** A team that asks for `share` of its quota, in requests at even odds at all instances, for some seconds. */
async function playTraffic (bench: LimitsBench, it: Traffic): Promise<void> {
  const random = new RandomSource(it.seed)
  const perMs = it.rate * it.share / it.units / 1000
  for (let ms = 0; ms < it.seconds * 1000; ms += 5) {
    it.onMs?.(ms)
    for (let due = perMs * 5; due > 0; due -= 1) {
      if (random.readFraction() < due) bench.request(Math.floor(random.readFraction() * SERVING), it.units)
    }
    await bench.clock.advance(5)
  }
}

describe('the quota of a team over all instances', () => {
  it('is kept in every window, whatever restarts, is cut off, or is held up on its way', async () => {
    for (const rate of [SMALL, LARGE]) {
      await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 60 }), async (steps) => {
        const bench = new LimitsBench(FLEET, createQuota(rate))
        await bench.clock.advance(LEAD_MS)
        for (const each of steps) await perform(bench, each)
        assert.ok(bench.measureExcess(createQuota(rate)) <= 0, `${bench.measureExcess(createQuota(rate))} too many`)
      }), { numRuns: 25, seed: 41 })
    }
  })

  it('is kept over lost and doubled messages', async () => {
    const bench = new LimitsBench(FLEET, createQuota(SMALL))
    Object.assign(bench.hub, { lossShare: 0.1, repeatShare: 0.1, maxDelayMs: 150 })
    await bench.clock.advance(LEAD_MS)
    await playTraffic(bench, { rate: SMALL, units: PROMPT, share: 7, seconds: 20, seed: 1 })
    assert.ok(bench.measureExcess(createQuota(SMALL)) <= 0)
    assert.ok(bench.uses.length > 0)
  })

  it('refuses nobody below it in calm, wherever the team\'s requests come in', async () => {
    for (const seed of SEEDS) {
      const bench = new LimitsBench({ ...FLEET, seed }, createQuota(LARGE))
      await bench.clock.advance(LEAD_MS)
      await playTraffic(bench, { rate: LARGE, units: PROMPT, share: 0.8, seconds: 10, seed })
      assert.equal(bench.refused, 0)
    }
  })

  it('lets a team use all of it while many times as much is asked for', async () => {
    const bench = new LimitsBench(FLEET, createQuota(LARGE))
    await bench.clock.advance(LEAD_MS)
    await playTraffic(bench, { rate: LARGE, units: PROMPT, share: 7, seconds: 8, seed: 1 })
    const used = bench.uses.reduce((sum, use) => sum + use.units, 0)
    assert.ok(used >= LARGE * 8, `${used} of ${LARGE * 9}`)
  })

  it('lets a request in that is larger than the burst, when nothing else was asked for', async () => {
    const bench = new LimitsBench(FLEET, createQuota(SMALL))
    await bench.clock.advance(LEAD_MS)
    bench.request(0, SMALL * 1.5)
    await bench.clock.advance(100)
    assert.equal(bench.uses.length, 1)
  })

  it('tells those who are refused times that lie apart, and none beyond what anybody waits', async () => {
    const clock = new ManualClock()
    const pool = new RatePool({ clock, bounds: BOUNDS, countInstances: () => 1 }, createQuota(SMALL))
    pool.add(1_000)
    pool.take(SMALL)
    const told = Array.from({ length: 100 }, () => pool.take(PROMPT)).flatMap((verdict) => verdict.isGranted ? [] : [verdict.retryAfterMs])
    assert.ok((told[1] ?? 0) - (told[0] ?? 0) >= PROMPT / SMALL * 1000 * 0.9)
    assert.ok(Math.max(...told) <= BOUNDS.windowMs * 1.5)
  })

  it('binds as soon as it is lowered', async () => {
    const bench = new LimitsBench(FLEET, createQuota(LARGE))
    await bench.clock.advance(LEAD_MS)
    bench.setQuota(createQuota(SMALL))
    await playTraffic(bench, { rate: SMALL, units: PROMPT, share: 7, seconds: 12, seed: 1 })
    assert.ok(bench.measureExcess(createQuota(SMALL)) <= 0)
  })

  it('counts nothing for what is given back', async () => {
    const bench = new LimitsBench(FLEET, createQuota(SMALL))
    await bench.clock.advance(LEAD_MS)
    let granted = 0
    for (let at = 0; at < 40; at++) {
      bench.request(at, PROMPT, (isGranted) => {
        if (isGranted) granted++
        if (isGranted) bench.giveBack(at, PROMPT)
      })
      await bench.clock.advance(20)
    }
    assert.equal(granted, 40)
  })

  describe('when instances go', () => {
    it('is at hand again within moments of its owner\'s death', async () => {
      const bench = new LimitsBench(FLEET, createQuota(LARGE))
      await bench.clock.advance(LEAD_MS)
      // One after the other, so that the owner is among them.
      for (const name of bench.serving) {
        bench.restart(name)
        await playTraffic(bench, { rate: LARGE, units: PROMPT, share: 0.5, seconds: 1, seed: 1 })
      }
      const share = bench.refused / (bench.refused + bench.uses.length)
      assert.ok(share < 0.05, `${share} refused`)
    })

    it('waits for nobody who does not run longer than a call', async () => {
      const bench = new LimitsBench(FLEET, createQuota(LARGE))
      await bench.clock.advance(LEAD_MS)
      for (const one of bench.serving.slice(0, 4)) for (const other of bench.serving) bench.hold(one, other)
      await playTraffic(bench, { rate: LARGE, units: PROMPT, share: 0.5, seconds: 4, seed: 1 })
      assert.ok(Math.max(...bench.waitsMs) <= 1_000)
      assert.ok(bench.measureExcess(createQuota(LARGE)) <= 0)
    })
  })
})

/** What befalls the instances while a team asks for many times its quota, or for a little less than it. */
const Troubles = {
  CALM: { name: 'calm', share: 0.8, everyMs: Infinity, strike: () => undefined },
  RESTARTS: { name: 'five of eight restarted every 1.5 s', share: 7, everyMs: 1_500, strike: (bench: LimitsBench) => bench.serving.slice(0, 5).forEach((name) => bench.restart(name)) },
  CUT: { name: 'all cut off from each other', share: 7, everyMs: 20_000, strike: (bench: LimitsBench) => bench.serving.forEach((one) => bench.serving.forEach((other) => bench.hold(one, other))) },
} as const
type Trouble = typeof Troubles[keyof typeof Troubles]

const SECONDS = 10

// Rerun with PULLEYSTACK_FIGURES=1 for the figures of docs/design/shifted-work.md.
describe('two ways to keep a quota', () => {
  const play = async (way: Way, seed: number, { name, share, everyMs, strike }: Trouble): Promise<LimitsBench> => {
    const bench = new LimitsBench({ ...FLEET, seed, way }, createQuota(LARGE))
    await bench.clock.advance(LEAD_MS)
    const before = bench.hub.messages
    const onMs = (ms: number): void => {
      if (ms % everyMs === 0) strike(bench)
    }
    await playTraffic(bench, { rate: LARGE, units: PROMPT, share, seconds: SECONDS, seed, onMs })
    if (process.env['PULLEYSTACK_FIGURES'] !== undefined) {
      const used = bench.uses.reduce((sum, use) => sum + use.units, 0) / LARGE / SECONDS
      const excess = Math.round(bench.measureExcess(createQuota(LARGE)))
      console.log(`${name}: ${way}, seed ${seed}: used ${used.toFixed(2)} of the rate, refused ${bench.refused}, over by ${excess}, ${Math.round((bench.hub.messages - before) / SECONDS)} messages a second`)
    }
    return bench
  }

  for (const trouble of Object.values(Troubles)) {
    it(`differ in what they let through with ${trouble.name}`, async () => {
      for (const seed of SEEDS) {
        const pooled = await play(Ways.POOLED, seed, trouble)
        const counted = await play(Ways.COUNTED, seed, trouble)
        assert.ok(pooled.measureExcess(createQuota(LARGE)) <= 0)
        assert.equal(counted.measureExcess(createQuota(LARGE)) > 0, trouble === Troubles.CUT)
      }
    })
  }
})
