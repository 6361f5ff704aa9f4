import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import fc from 'fast-check'
import { LoneRunRule, Verdicts } from '../src/index.js'
import { SuspectTable } from '../src/SuspectTable.js'
import { QuarantineBench, type Scenario } from './QuarantineBench.js'

/** What the users allow later than 3 s after the third end. */
const MOST_LATER = 3
/** First and further attempt of one try. */
const ATTEMPTS = 2

const LOOKUPS: Scenario = { instances: 5, servers: 8, lastsMs: 10_000, rate: 60, runMs: 30, sameShare: 0.5 }
const STREAMS: Scenario = { ...LOOKUPS, runMs: 2_000 }

const play = (scenario: Scenario, seed: number) => new QuarantineBench(scenario, new LoneRunRule(), seed).play()

describe('a request under which servers end', () => {
  const SEEDS = [1, 2, 3]

  it('ends two servers when it comes one at a time, and takes few others along', async () => {
    for (const seed of SEEDS) {
      const { endedByLethal, refusedWrongly, lost } = await play({ ...STREAMS, sameShare: 0, lethalEveryMs: 500 }, seed)
      assert.ok(endedByLethal <= 3, `${endedByLethal} servers`)
      assert.equal(refusedWrongly, 0)
      assert.ok(lost <= 2, `${lost} others lost`)
    }
  })

  it('reaches no server any more once all instances have died at once', async () => {
    for (const seed of SEEDS) {
      const { endedByLethal } = await play({ ...LOOKUPS, lethalEveryMs: 500, restartEveryMs: 3_000 }, seed)
      assert.ok(endedByLethal <= 3, `${endedByLethal} servers`)
    }
  })

  // Guards against a lethal request that all who start later take for a new one, since the store has lost it and its writer is gone.
  it('is written again when the store comes back from an older copy', async () => {
    const KEY = 'suspects/lethal'
    const bench = new QuarantineBench(LOOKUPS, new LoneRunRule(), 1)
    const readVersion = async (): Promise<number> => (await bench.store.readObject(KEY))._unsafeUnwrap()?.version ?? 0
    bench.store.epochs.note(1)
    while (await readVersion() === 0) {
      void bench.bringLethal(0)
      await bench.clock.advance(1_000)
    }
    bench.restart(0)
    await bench.clock.advance(1_000)
    await bench.store.deleteObject(KEY, await readVersion())
    bench.store.epochs.note(2)
    await bench.clock.advance(1_000)
    assert.notEqual(await readVersion(), 0)
  })

  type Step =
    | { kind: 'bring', count: number, at: number }
    | { kind: 'restart', at: number }
    | { kind: 'restart-all' }
    | { kind: 'pass', ms: number }

  const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ kind: fc.constant('bring' as const), count: fc.integer({ min: 1, max: 6 }), at: fc.nat(4) }),
    fc.record({ kind: fc.constant('restart' as const), at: fc.nat(4) }),
    fc.constant({ kind: 'restart-all' as const }),
    fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 100, max: 5_000 }) }),
  )

  it('reaches few servers, however often it comes at once and whichever instances are killed in between', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 40 }), async (steps) => {
      const bench = new QuarantineBench(LOOKUPS, new LoneRunRule(), 1)
      let mostAtOnce = 0
      for (const each of steps) {
        if (each.kind === 'pass') await bench.clock.advance(each.ms)
        else if (each.kind === 'restart') bench.restart(each.at)
        else if (each.kind === 'restart-all') bench.restartAll()
        else if (each.kind === 'bring') {
          mostAtOnce = Math.max(mostAtOnce, each.count)
          for (let i = 0; i < each.count; i++) void bench.bringLethal(each.at + i)
          await bench.clock.advance(1_000)
        }
      }
      assert.ok(bench.outcome.laterArrivals <= MOST_LATER, `${bench.outcome.laterArrivals} later arrivals`)
      assert.ok(bench.outcome.endedByLethal <= ATTEMPTS * mostAtOnce + MOST_LATER, `${bench.outcome.endedByLethal} servers`)
    }), { numRuns: 60, seed: 45 })
  })
})

describe('requests that are there when servers end by themselves', () => {
  const SEEDS = [4, 5, 6]

  it('are not refused, when half of a data hall is lost while many ask the same', async () => {
    for (const runMs of [LOOKUPS.runMs, STREAMS.runMs]) {
      for (const seed of SEEDS) {
        const { refusedWrongly, lost } = await play({ ...LOOKUPS, runMs, endsEveryMs: 4_000, endsTogether: 4 }, seed)
        assert.deepEqual({ refusedWrongly, lost }, { refusedWrongly: 0, lost: 0 })
      }
    }
  })

  it('are not refused, when servers end one after the other under a question that many ask', async () => {
    for (const seed of SEEDS) {
      const { refusedWrongly, lost } = await play({ ...LOOKUPS, endsEveryMs: 500 }, seed)
      assert.deepEqual({ refusedWrongly, lost }, { refusedWrongly: 0, lost: 0 })
    }
  })
})

describe('what is remembered of requests', () => {
  const news = (identity: string, wasOnlyRun: boolean, ...lives: string[]) => ({ identity, ends: lives.map((life) => ({ life, wasOnlyRun })), cleared: [] })
  let now: number
  let table: SuspectTable

  beforeEach(() => {
    now = 0
    table = new SuspectTable(new LoneRunRule(), () => now)
  })

  it('goes after a while, but for those that are refused', () => {
    table.take(news('bystander', false, 's1'))
    table.take(news('lethal', true, 's1', 's2'))
    assert.equal(table.judge('lethal'), Verdicts.REFUSED)
    now = 2_000
    table.forgetOlder(1_000)
    assert.deepEqual(table.list().map(({ identity }) => identity), ['lethal'])
  })

  it('is bounded, and the refused stay', () => {
    table.take(news('lethal', true, 's1', 's2'))
    for (let at = 0; at < 5_000; at++) table.take(news(`i${at}`, false, 's3'))
    assert.equal(table.size, 4_096)
    assert.equal(table.judge('lethal'), Verdicts.REFUSED)
  })

  it('tells a request that was alone from two that were together at each end', () => {
    table.take(news('one', true, 's1', 's2'))
    table.take(news('other', true, 's1', 's2'))
    assert.deepEqual(['one', 'other'].map((identity) => table.judge(identity)), [Verdicts.REFUSED, Verdicts.REFUSED])
    table = new SuspectTable(new LoneRunRule(), () => now)
    for (const identity of ['one', 'other']) {
      table.take(news(identity, false, 's1'))
      table.take(news(identity, true, 's2'))
    }
    assert.deepEqual(['one', 'other'].map((identity) => table.judge(identity)), [Verdicts.ALONE, Verdicts.ALONE])
    table.take(news('one', true, 's3'))
    assert.deepEqual(['one', 'other'].map((identity) => table.judge(identity)), [Verdicts.REFUSED, Verdicts.ALONE])
  })

  it('is cleared by a good end, and a request that ends well far more often than not is free at once', () => {
    table.take(news('often', false, 's1', 's2', 's3'))
    assert.equal(table.judge('often'), Verdicts.ALONE)
    assert.equal(table.noteGoodEnd('often'), true)
    assert.equal(table.judge('often'), Verdicts.FREE)
    for (let at = 0; at < 50; at++) table.noteGoodEnd('often')
    table.take(news('often', false, 's4', 's5'))
    assert.equal(table.judge('often'), Verdicts.FREE)
  })

  it('is the same in whichever order it is heard, and however often', () => {
    const all = [news('q', true, 's1'), news('q', false, 's2'), { identity: 'q', ends: [], cleared: ['s1'] }]
    fc.assert(fc.property(fc.shuffledSubarray([0, 1, 2, 0, 1, 2], { minLength: 6 }), (order) => {
      const heard = new SuspectTable(new LoneRunRule(), () => 0)
      for (const at of order) heard.take(all[at] as typeof all[number])
      assert.deepEqual(heard.find('q')?.listOpen().map(({ life }) => life), ['s2'])
    }), { seed: 45 })
  })
})
