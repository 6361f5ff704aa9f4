import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import fc from 'fast-check'
import { ExclusiveRunRule, Verdicts } from '../src/index.js'
import { SuspectTable } from '../src/SuspectTable.js'
import { QuarantineSimulation, type Scenario } from './QuarantineSimulation.js'

/** Allowed arrivals more than 3 s after the third crash. */
const MAX_LATE_ARRIVALS = 3
/** First attempt and one retry. */
const ATTEMPTS_PER_TRY = 2

const LOOKUPS: Scenario = { instances: 5, servers: 8, lastsMs: 10_000, rate: 60, runMs: 30, sameShare: 0.5 }
const STREAMS: Scenario = { ...LOOKUPS, runMs: 2_000 }

const simulate = (scenario: Scenario, seed: number) => new QuarantineSimulation(scenario, new ExclusiveRunRule(), seed).play()

describe('a request that crashes servers', () => {
  const SEEDS = [1, 2, 3]

  it('crashes at most three servers when sent one at a time, and affects few other requests', async () => {
    for (const seed of SEEDS) {
      const { endedByLethal, refusedWrongly, lost } = await simulate({ ...STREAMS, sameShare: 0, lethalEveryMs: 500 }, seed)
      assert.ok(endedByLethal <= 3, `${endedByLethal} servers crashed`)
      assert.equal(refusedWrongly, 0)
      assert.ok(lost <= 2, `${lost} others lost`)
    }
  })

  it('is still quarantined after all instances were killed at once', async () => {
    for (const seed of SEEDS) {
      const { endedByLethal } = await simulate({ ...LOOKUPS, lethalEveryMs: 500, restartEveryMs: 3_000 }, seed)
      assert.ok(endedByLethal <= 3, `${endedByLethal} servers crashed`)
    }
  })

  // Guards against a poison request that is lost with the store's newer state while the instance that wrote it is gone.
  it('is written again after the store was restored from an older snapshot', async () => {
    const KEY = 'suspects/poison'
    const simulation = new QuarantineSimulation(LOOKUPS, new ExclusiveRunRule(), 1)
    const readVersion = async (): Promise<number> => (await simulation.store.readObject(KEY))._unsafeUnwrap()?.version ?? 0
    simulation.store.epochs.record(1)
    while (await readVersion() === 0) {
      void simulation.sendPoison(0)
      await simulation.clock.advance(1_000)
    }
    simulation.restart(0)
    await simulation.clock.advance(1_000)
    await simulation.store.deleteObject(KEY, await readVersion())
    simulation.store.epochs.record(2)
    await simulation.clock.advance(1_000)
    assert.notEqual(await readVersion(), 0)
  })

  type Step =
    | { kind: 'send-poison', count: number, at: number }
    | { kind: 'restart', at: number }
    | { kind: 'restart-all' }
    | { kind: 'pass', ms: number }

  const step: fc.Arbitrary<Step> = fc.oneof(
    fc.record({ kind: fc.constant('send-poison' as const), count: fc.integer({ min: 1, max: 6 }), at: fc.nat(4) }),
    fc.record({ kind: fc.constant('restart' as const), at: fc.nat(4) }),
    fc.constant({ kind: 'restart-all' as const }),
    fc.record({ kind: fc.constant('pass' as const), ms: fc.integer({ min: 100, max: 5_000 }) }),
  )

  it('reaches few servers in any sequence of bursts and instance restarts', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 40 }), async (steps) => {
      const simulation = new QuarantineSimulation(LOOKUPS, new ExclusiveRunRule(), 1)
      let maxBatch = 0
      for (const each of steps) {
        if (each.kind === 'pass') await simulation.clock.advance(each.ms)
        else if (each.kind === 'restart') simulation.restart(each.at)
        else if (each.kind === 'restart-all') simulation.restartAll()
        else if (each.kind === 'send-poison') {
          maxBatch = Math.max(maxBatch, each.count)
          for (let i = 0; i < each.count; i++) void simulation.sendPoison(each.at + i)
          await simulation.clock.advance(1_000)
        }
      }
      assert.ok(simulation.outcome.laterArrivals <= MAX_LATE_ARRIVALS, `${simulation.outcome.laterArrivals} late arrivals`)
      assert.ok(simulation.outcome.endedByLethal <= ATTEMPTS_PER_TRY * maxBatch + MAX_LATE_ARRIVALS, `${simulation.outcome.endedByLethal} servers crashed`)
    }), { numRuns: 60, seed: 45 })
  })
})

describe('requests running on servers that crash for other reasons', () => {
  const SEEDS = [4, 5, 6]

  it('are not rejected when half of a data hall is lost during many identical requests', async () => {
    for (const runMs of [LOOKUPS.runMs, STREAMS.runMs]) {
      for (const seed of SEEDS) {
        const { refusedWrongly, lost } = await simulate({ ...LOOKUPS, runMs, endsEveryMs: 4_000, endsTogether: 4 }, seed)
        assert.deepEqual({ refusedWrongly, lost }, { refusedWrongly: 0, lost: 0 })
      }
    }
  })

  it('are not rejected when servers crash one after the other during many identical requests', async () => {
    for (const seed of SEEDS) {
      const { refusedWrongly, lost } = await simulate({ ...LOOKUPS, endsEveryMs: 500 }, seed)
      assert.deepEqual({ refusedWrongly, lost }, { refusedWrongly: 0, lost: 0 })
    }
  })
})

describe('SuspectTable', () => {
  const createUpdate = (identity: string, wasOnlyRun: boolean, ...incarnations: string[]) => ({
    identity,
    ends: incarnations.map((life) => ({ life, wasOnlyRun })),
    cleared: [],
  })
  let now: number
  let table: SuspectTable

  beforeEach(() => {
    now = 0
    table = new SuspectTable(new ExclusiveRunRule(), () => now)
  })

  it('removes old suspects except rejected ones', () => {
    table.apply(createUpdate('unrelated', false, 's1'))
    table.apply(createUpdate('poison', true, 's1', 's2'))
    assert.equal(table.judge('poison'), Verdicts.REJECTED)
    now = 2_000
    table.removeOlder(1_000)
    assert.deepEqual(table.list().map(({ identity }) => identity), ['poison'])
  })

  it('is bounded and keeps rejected suspects', () => {
    table.apply(createUpdate('poison', true, 's1', 's2'))
    for (let at = 0; at < 5_000; at++) table.apply(createUpdate(`i${at}`, false, 's3'))
    assert.equal(table.size, 4_096)
    assert.equal(table.judge('poison'), Verdicts.REJECTED)
  })

  it('distinguishes a request that ran alone from two that ran together at each crash', () => {
    table.apply(createUpdate('one', true, 's1', 's2'))
    table.apply(createUpdate('other', true, 's1', 's2'))
    assert.deepEqual(['one', 'other'].map((identity) => table.judge(identity)), [Verdicts.REJECTED, Verdicts.REJECTED])
    table = new SuspectTable(new ExclusiveRunRule(), () => now)
    for (const identity of ['one', 'other']) {
      table.apply(createUpdate(identity, false, 's1'))
      table.apply(createUpdate(identity, true, 's2'))
    }
    assert.deepEqual(['one', 'other'].map((identity) => table.judge(identity)), [Verdicts.EXCLUSIVE, Verdicts.EXCLUSIVE])
    table.apply(createUpdate('one', true, 's3'))
    assert.deepEqual(['one', 'other'].map((identity) => table.judge(identity)), [Verdicts.REJECTED, Verdicts.EXCLUSIVE])
  })

  it('clears a request after a successful run, and never restricts one that mostly succeeds', () => {
    table.apply(createUpdate('frequent', false, 's1', 's2', 's3'))
    assert.equal(table.judge('frequent'), Verdicts.EXCLUSIVE)
    assert.equal(table.recordSuccess('frequent'), true)
    assert.equal(table.judge('frequent'), Verdicts.ALLOWED)
    for (let at = 0; at < 50; at++) table.recordSuccess('frequent')
    table.apply(createUpdate('frequent', false, 's4', 's5'))
    assert.equal(table.judge('frequent'), Verdicts.ALLOWED)
  })

  it('gives the same result for updates in any order and with repetitions', () => {
    const updates = [createUpdate('q', true, 's1'), createUpdate('q', false, 's2'), { identity: 'q', ends: [], cleared: ['s1'] }]
    fc.assert(fc.property(fc.shuffledSubarray([0, 1, 2, 0, 1, 2], { minLength: 6 }), (order) => {
      const received = new SuspectTable(new ExclusiveRunRule(), () => 0)
      for (const at of order) received.apply(updates[at] as typeof updates[number])
      assert.deepEqual(received.find('q')?.listUncleared().map(({ life }) => life), ['s2'])
    }), { seed: 45 })
  })
})
