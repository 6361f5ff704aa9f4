import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { BackendDirectory, BackendFleet, type BackendEntry } from '../src/index.js'

const SETTLED_MS = 60_000

function createEntry (id: string, draining = false): BackendEntry {
  return { id, service: 's', address: '127.0.0.1:1', dataHall: 'z', slots: 1, draining, models: undefined, inMemory: [], onDisk: [] }
}

describe('the directory of backend servers', () => {
  let clock: ManualClock
  let fleet: BackendFleet
  let directory: BackendDirectory
  let settledMs: number
  const listIds = (): string[] => fleet.listAll().map((backend) => backend.id)

  beforeEach(() => {
    clock = new ManualClock()
    fleet = new BackendFleet()
    settledMs = SETTLED_MS
    directory = new BackendDirectory({ clock, fleet, readSettledMs: () => settledMs })
    directory.put(createEntry('r1'))
    directory.put(createEntry('r2', true))
  })

  it('drops at once a server whose entry can\'t be read, also just after the store was away', () => {
    settledMs = 0
    directory.drop('r1')
    assert.deepEqual(listIds(), ['r2'])
  })

  describe('with a server that starts again under its id', () => {
    beforeEach(() => {
      directory.put({ ...createEntry('r3'), startedAt: 1_000, models: [{ name: 'm', adapters: [] }] })
      const backend = fleet.find('r3')
      backend?.prefixes.note('m', [{ id: 'a', tokens: 100 }])
      backend?.noteModel('n', true)
      fleet.applyPeerLoads('e2', new Map([['r3', { running: 3, prefillTokens: 10, cacheTokens: 10, suspects: 0 }]]))
    })

    it('knows nothing of the former life', () => {
      directory.put({ ...createEntry('r3'), startedAt: 2_000, models: [] })
      const backend = fleet.find('r3')
      assert.equal(backend?.hasWeights('m'), false)
      assert.equal(backend.hasWeights('n'), false)
      assert.equal(backend.readLoad().running, 0)
      assert.equal(backend.prefixes.countKept('m', [{ id: 'a', tokens: 100 }]), 0)
    })

    it('tells that the former one is gone, so that orders to it are void', () => {
      const kinds: string[] = []
      fleet.changes.subscribe(({ kind }) => kinds.push(kind))
      directory.put({ ...createEntry('r3'), startedAt: 2_000 })
      assert.deepEqual(kinds, ['removed', 'added'])
    })

    it('goes on where the start is the same or isn\'t told', () => {
      const before = fleet.find('r3')
      directory.put({ ...createEntry('r3'), startedAt: 1_000 })
      directory.put(createEntry('r3'))
      assert.equal(fleet.find('r3'), before)
    })
  })

  it('drops at once a server whose entry goes', () => {
    directory.remove('r1')
    assert.deepEqual(listIds(), ['r2'])
  })

  describe('just after the store was away', () => {
    beforeEach(() => {
      settledMs = 100
    })

    it('keeps what it knows of a server that writes itself again', async () => {
      const before = fleet.find('r1')
      directory.keepOnly(new Set())
      await clock.advance(2_000)
      directory.put(createEntry('r1'))
      await clock.advance(5_000)
      assert.deepEqual(listIds(), ['r1'])
      assert.equal(fleet.find('r1'), before)
    })

    it('drops a server that is still missing after the time in which it would have', async () => {
      directory.remove('r1')
      directory.remove('r1')
      await clock.advance(2_300)
      assert.ok(listIds().includes('r1'))
      await clock.advance(200)
      assert.deepEqual(listIds(), ['r2'])
    })

    it('drops at once a server that had said that it leaves', () => {
      directory.remove('r2')
      assert.deepEqual(listIds(), ['r1'])
    })
  })
})
