import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { InstanceRoles, type CacheEvent } from '@pulleystack/backend.interfaces'
import { checkProperty } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { packUpdate, PrefixIndex, Runner, unpackUpdate, type RunnerUpdate } from '../src/index.js'

function buildUpdate (overrides: Partial<RunnerUpdate> = {}): RunnerUpdate {
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
    ...overrides,
  }
}

function createRunner (): Runner {
  return new Runner({ id: 'e', role: InstanceRoles.ENGINE, address: 'x', region: 'r', dataHall: 'h', leaving: false, labels: {} })
}

describe('Runner', () => {
  it('corrects a delayed report by the requests started and finished since', () => {
    const runner = createRunner()
    runner.recordStart('p', false, 10)
    // Measured at 20 ms with one own request and two of other instances running; arrives at 50 ms.
    runner.applyUpdate(buildUpdate({ running: 3, ageMs: 30 }), 50)
    runner.recordStart('p', false, 60)
    runner.recordStart('p', false, 70)
    assert.equal(runner.estimateLoad(), 5)
    runner.recordEnd('p', false, 80)
    assert.equal(runner.estimateLoad(), 4)
  })

  it('never estimates less than its own requests in flight', () => {
    const runner = createRunner()
    runner.recordStart('p', false, 10)
    runner.applyUpdate(buildUpdate({ running: 0, ageMs: 0 }), 20)
    assert.equal(runner.estimateLoad(), 1)
  })

  it('ignores a report older than the current one, unless the server was restarted', () => {
    const runner = createRunner()
    runner.applyUpdate(buildUpdate({ seq: 9, running: 4 }), 10)
    assert.equal(runner.applyUpdate(buildUpdate({ seq: 8, running: 1 }), 20), false)
    assert.equal(runner.applyUpdate(buildUpdate({ seq: 1, life: '2' }), 30), true)
  })

  it('is silent only after several missed reports', () => {
    const runner = createRunner()
    assert.equal(runner.isSilent(60_000), false, 'never reported')
    runner.applyUpdate(buildUpdate({ everyMs: 4_000 }), 0)
    assert.equal(runner.isSilent(11_000), false)
    assert.equal(runner.isSilent(13_000), true)
  })

  it('is full when its slots are occupied, allowing for requests that have probably finished', () => {
    const runner = createRunner()
    runner.applyUpdate(buildUpdate({ running: 8, waiting: 1 }), 0)
    assert.equal(runner.isFull(0), true)
    assert.equal(runner.isFull(100), false)
  })

  it('reports an item as not ready while it is drained', () => {
    const runner = createRunner()
    runner.applyUpdate(buildUpdate({ items: [{ item: 'p/m@base', bytes: 1, state: 'ready' }] }), 0)
    assert.equal(runner.hasReady('p/m@base'), true)
    runner.drain('p/m@base', 100)
    assert.equal(runner.hasReady('p/m@base'), false)
    runner.clearExpiredDrains(100)
    assert.equal(runner.hasReady('p/m@base'), true)
  })
})

describe('PrefixIndex', () => {
  const storeEvent = (seq: number, blocks: number[]): CacheEvent => ({ seq, kind: 'stored', blocks })

  it('counts leading blocks only', () => {
    const index = new PrefixIndex()
    index.applyEvents([storeEvent(1, [1, 2, 4])], 1)
    assert.equal(index.countMatching([1, 2, 3, 4]), 2)
  })

  it('counts blocks from before a gap half', () => {
    const index = new PrefixIndex()
    index.applyEvents([storeEvent(1, [1, 2])], 1)
    index.applyEvents([storeEvent(5, [3])], 5)
    assert.equal(index.countMatching([1, 2]), 1)
    assert.equal(index.countMatching([3]), 1)
  })

  it('detects a gap from the newest sequence number alone', () => {
    const index = new PrefixIndex()
    index.applyEvents([storeEvent(1, [1])], 1)
    index.applyEvents([], 4)
    index.applyEvents([storeEvent(5, [2])], 5)
    assert.equal(index.countMatching([1]), 0.5)
  })

  it('removes evicted and cleared blocks', () => {
    const index = new PrefixIndex()
    index.applyEvents([storeEvent(1, [1, 2]), { seq: 2, kind: 'evicted', blocks: [2] }], 2)
    assert.equal(index.countMatching([1, 2]), 1)
    index.applyEvents([{ seq: 3, kind: 'cleared', blocks: [] }], 3)
    assert.equal(index.countMatching([1]), 0)
  })
})

describe('packUpdate', () => {
  it('round-trips through unpackUpdate', async () => {
    const event = fc.record({ seq: fc.nat(), kind: fc.constantFrom('stored' as const, 'evicted' as const, 'cleared' as const), blocks: fc.array(fc.nat()) }, { noNullPrototype: true })
    const item = fc.record({ item: fc.string(), bytes: fc.nat(), state: fc.constantFrom('loading' as const, 'ready' as const) }, { noNullPrototype: true })
    await checkProperty([fc.array(event), fc.option(fc.array(item), { nil: undefined }), fc.nat()], (cacheEvents, items, running) => {
      const update = buildUpdate({ cacheEvents, running, ...items ? { items } : {} })
      assert.deepEqual(unpackUpdate(packUpdate(update)), update)
    }, 100)
  })
})
