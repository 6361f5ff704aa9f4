import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { InstanceRoles, type CacheEvent } from '@pulleystack/backend.interfaces'
import { checkProperty } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { packUpdate, PrefixIndex, Runner, unpackUpdate, type RunnerUpdate } from '../src/index.js'

function buildUpdate (change: Partial<RunnerUpdate> = {}): RunnerUpdate {
  return {
    server: 'e',
    life: '1',
    seq: 1,
    everyMs: 250,
    ageMs: 0,
    running: 0,
    waiting: 0,
    slots: 8,
    freeBytes: 0,
    cacheEvents: [],
    cacheSeq: 0,
    ...change,
  }
}

function createRunner (): Runner {
  return new Runner({ id: 'e', role: InstanceRoles.ENGINE, address: 'x', region: 'r', dataHall: 'h', leaving: false, labels: {} })
}

describe('Runner', () => {
  it('adds to a lagged report what this instance began and ended since', () => {
    const runner = createRunner()
    runner.noteStart('p', false, 10)
    // Taken at 20, when one request of ours and two of others ran; it arrives at 50.
    runner.applyUpdate(buildUpdate({ running: 3, ageMs: 30 }), 50)
    runner.noteStart('p', false, 60)
    runner.noteStart('p', false, 70)
    assert.equal(runner.estimateLoad(), 5)
    runner.noteEnd('p', false, 80)
    assert.equal(runner.estimateLoad(), 4)
  })

  it('never estimates less than its own requests in flight', () => {
    const runner = createRunner()
    runner.noteStart('p', false, 10)
    runner.applyUpdate(buildUpdate({ running: 0, ageMs: 0 }), 20)
    assert.equal(runner.estimateLoad(), 1)
  })

  it('ignores a report that is older than the one it has, but not one of a new life', () => {
    const runner = createRunner()
    runner.applyUpdate(buildUpdate({ seq: 9, running: 4 }), 10)
    assert.equal(runner.applyUpdate(buildUpdate({ seq: 8, running: 1 }), 20), false)
    assert.equal(runner.applyUpdate(buildUpdate({ seq: 1, life: '2' }), 30), true)
  })

  it('is silent only after several of its own intervals', () => {
    const runner = createRunner()
    assert.equal(runner.isSilent(60_000), false, 'never reported')
    runner.applyUpdate(buildUpdate({ everyMs: 4_000 }), 0)
    assert.equal(runner.isSilent(11_000), false)
    assert.equal(runner.isSilent(13_000), true)
  })

  it('is full when its places are taken, less those that will have ended', () => {
    const runner = createRunner()
    runner.applyUpdate(buildUpdate({ running: 8, waiting: 1 }), 0)
    assert.equal(runner.isFull(0), true)
    assert.equal(runner.isFull(100), false)
  })

  it('has nothing ready that is being drained', () => {
    const runner = createRunner()
    runner.applyUpdate(buildUpdate({ items: [{ item: 'p/m@base', bytes: 1, state: 'ready' }] }), 0)
    assert.equal(runner.hasReady('p/m@base'), true)
    runner.drain('p/m@base', 100)
    assert.equal(runner.hasReady('p/m@base'), false)
    runner.endDrains(100)
    assert.equal(runner.hasReady('p/m@base'), true)
  })
})

describe('PrefixIndex', () => {
  const store = (seq: number, blocks: number[]): CacheEvent => ({ seq, kind: 'stored', blocks })

  it('counts leading blocks only', () => {
    const index = new PrefixIndex()
    index.applyEvents([store(1, [1, 2, 4])], 1)
    assert.equal(index.countMatching([1, 2, 3, 4]), 2)
  })

  it('trusts by half what it knew before a gap', () => {
    const index = new PrefixIndex()
    index.applyEvents([store(1, [1, 2])], 1)
    index.applyEvents([store(5, [3])], 5)
    assert.equal(index.countMatching([1, 2]), 1)
    assert.equal(index.countMatching([3]), 1)
  })

  it('notices a gap that only the newest number shows', () => {
    const index = new PrefixIndex()
    index.applyEvents([store(1, [1])], 1)
    index.applyEvents([], 4)
    index.applyEvents([store(5, [2])], 5)
    assert.equal(index.countMatching([1]), 0.5)
  })

  it('forgets what was evicted or cleared', () => {
    const index = new PrefixIndex()
    index.applyEvents([store(1, [1, 2]), { seq: 2, kind: 'evicted', blocks: [2] }], 2)
    assert.equal(index.countMatching([1, 2]), 1)
    index.applyEvents([{ seq: 3, kind: 'cleared', blocks: [] }], 3)
    assert.equal(index.countMatching([1]), 0)
  })
})

describe('packUpdate', () => {
  it('gives back what was packed', async () => {
    const event = fc.record({ seq: fc.nat(), kind: fc.constantFrom('stored' as const, 'evicted' as const, 'cleared' as const), blocks: fc.array(fc.nat()) }, { noNullPrototype: true })
    const item = fc.record({ item: fc.string(), bytes: fc.nat(), state: fc.constantFrom('loading' as const, 'ready' as const) }, { noNullPrototype: true })
    await checkProperty([fc.array(event), fc.option(fc.array(item), { nil: undefined }), fc.nat()], (cacheEvents, items, running) => {
      const update = buildUpdate({ cacheEvents, running, ...items ? { items } : {} })
      assert.deepEqual(unpackUpdate(packUpdate(update)), update)
    }, 100)
  })
})
