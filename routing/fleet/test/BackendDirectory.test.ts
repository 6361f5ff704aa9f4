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

  describe('after the store came back from an older copy', () => {
    const RESTORED = 100
    /** Three heartbeats of silence, after which the entry of a server that ended has run out again. */
    const REVIVED_MS = 5_000
    const isLeaving = (id: string): boolean | undefined => fleet.find(id)?.entry.draining

    const restore = (...entries: BackendEntry[]): void => {
      settledMs = 0
      directory.noteRestored(RESTORED)
      for (const entry of entries) directory.put(entry, RESTORED - 10)
      directory.keepOnly(new Set(entries.map(({ id }) => id)))
    }

    // Guards against an older entry that takes back a server's word that it leaves.
    it('keeps the word of a server that leaves until the server itself takes it back', async () => {
      restore(createEntry('r1'), createEntry('r2'))
      await clock.advance(2 * REVIVED_MS)
      directory.put(createEntry('r2'), RESTORED - 10)
      assert.equal(isLeaving('r2'), true)
      directory.put(createEntry('r2'), RESTORED + 1)
      assert.equal(isLeaving('r2'), false)
    })

    it('takes the word of a server that it leaves, whichever history it is of', () => {
      restore(createEntry('r1', true), createEntry('r2', true))
      assert.equal(isLeaving('r1'), true)
    })

    // Guards against requests to a server that ended in the moments that the store has lost.
    it('brings back a server that had gone once it stands for longer than its entry could without it', async () => {
      directory.remove('r1')
      restore(createEntry('r1'), createEntry('r2', true))
      await clock.advance(REVIVED_MS - 100)
      assert.deepEqual(listIds(), ['r2'])
      await clock.advance(100)
      assert.equal(isLeaving('r1'), false)
    })

    it('does not bring back one whose entry goes again, and brings back at once one that writes itself', async () => {
      for (const id of ['r1', 'r2']) directory.remove(id)
      restore(createEntry('r1'), createEntry('r2'))
      directory.remove('r1')
      directory.put(createEntry('r2'), RESTORED + 1)
      await clock.advance(2 * REVIVED_MS)
      assert.deepEqual(listIds(), ['r2'])
    })

    it('never uses one again that had said that it leaves, and had gone, before it writes itself', async () => {
      directory.remove('r2')
      restore(createEntry('r1'), createEntry('r2'))
      await clock.advance(2 * REVIVED_MS)
      assert.notEqual(isLeaving('r2'), false)
    })

    it('keeps servers that the copy lacks for as long as they take to write themselves again', async () => {
      restore()
      await clock.advance(2_400)
      assert.deepEqual(listIds(), ['r1'])
      directory.put(createEntry('r1'), RESTORED + 1)
      await clock.advance(2 * REVIVED_MS)
      assert.deepEqual(listIds(), ['r1'])
    })

    it('adds servers that nothing was known of', () => {
      restore(createEntry('r1'), createEntry('r3'))
      assert.equal(isLeaving('r3'), false)
    })

    it('keeps what it knows when the store comes back again', async () => {
      restore(createEntry('r1'), createEntry('r2'))
      await clock.advance(REVIVED_MS - 100)
      directory.noteRestored(2 * RESTORED)
      directory.put(createEntry('r2'), 2 * RESTORED - 10)
      await clock.advance(2 * REVIVED_MS)
      assert.equal(isLeaving('r2'), true)
    })

    // Guards against an instance that starts in that moment and takes the older copy's word.
    describe('seen by an instance that starts meanwhile', () => {
      let started: BackendDirectory
      let seen: BackendFleet
      const listReady = (): string[] => seen.listAll().filter(({ entry }) => !entry.draining).map(({ id }) => id).sort()
      const list = (): void => {
        for (const id of ['r1', 'r2', 'r3']) started.put(createEntry(id), RESTORED - 10)
      }
      const tell = (): void => {
        const revived = directory.describeRevived()
        if (revived) started.takeRevived(revived)
      }

      beforeEach(() => {
        seen = new BackendFleet()
        started = new BackendDirectory({ clock, fleet: seen, readSettledMs: () => SETTLED_MS })
        directory.put(createEntry('r3'))
        directory.remove('r1')
        restore(createEntry('r1'), createEntry('r2'), createEntry('r3'))
      })

      it('are used without those that its peers know better, whether it lists before or after it is told', () => {
        list()
        tell()
        assert.deepEqual(listReady(), ['r3'])
        list()
        assert.deepEqual(listReady(), ['r3'])
      })

      it('are used again as any are once they write themselves', () => {
        tell()
        list()
        started.put(createEntry('r1'), RESTORED + 1)
        tell()
        assert.deepEqual(listReady(), ['r1', 'r3'])
      })

      it('are used after a while if their entries stand, but for those that leave', async () => {
        list()
        tell()
        await clock.advance(REVIVED_MS)
        assert.deepEqual(listReady(), ['r1', 'r3'])
      })

      it('are told of no more once servers have had time to write themselves', async () => {
        await clock.advance(REVIVED_MS)
        assert.equal(directory.describeRevived(), undefined)
      })
    })
  })
})
