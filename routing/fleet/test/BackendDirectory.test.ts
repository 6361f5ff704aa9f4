import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { BackendDirectory, BackendFleet, type BackendEntry } from '../src/index.js'

const LONG_RECOVERED_MS = 60_000
/** Longer than the time in which servers publish their entries again. */
const DRAIN_MS = 4_000

function createEntry (id: string, draining = false): BackendEntry {
  return { id, service: 's', address: '127.0.0.1:1', dataHall: 'z', slots: 1, draining, models: undefined, inMemory: [], onDisk: [] }
}

describe('backend directory', () => {
  let clock: ManualClock
  let fleet: BackendFleet
  let directory: BackendDirectory
  let msSinceRecovery: number
  const listIds = (): string[] => fleet.listAll().map((backend) => backend.id)

  beforeEach(() => {
    clock = new ManualClock()
    fleet = new BackendFleet()
    msSinceRecovery = LONG_RECOVERED_MS
    directory = new BackendDirectory({ clock, fleet, readMsSinceRecovery: () => msSinceRecovery, drainMs: DRAIN_MS })
    directory.put(createEntry('r1'))
    directory.put(createEntry('r2', true))
  })

  it('removes a server with an unreadable entry at once, even shortly after a store outage', () => {
    msSinceRecovery = 0
    directory.removeUnreadable('r1')
    assert.deepEqual(listIds(), ['r2'])
  })

  describe('with a server that restarts under the same id', () => {
    beforeEach(() => {
      directory.put({ ...createEntry('r3'), startedAt: 1_000, models: [{ name: 'm', adapters: [] }] })
      const backend = fleet.find('r3')
      backend?.cachedPrefixes.record('m', [{ id: 'a', tokens: 100 }])
      backend?.recordModel('n', true)
      fleet.applyPeerLoads('e2', new Map([['r3', { running: 3, prefillTokens: 10, cacheTokens: 10, suspects: 0 }]]))
    })

    it('discards the state of the former incarnation', () => {
      directory.put({ ...createEntry('r3'), startedAt: 2_000, models: [] })
      const backend = fleet.find('r3')
      assert.equal(backend?.hasWeights('m'), false)
      assert.equal(backend.hasWeights('n'), false)
      assert.equal(backend.readLoad().running, 0)
      assert.equal(backend.cachedPrefixes.countCachedTokens('m', [{ id: 'a', tokens: 100 }]), 0)
    })

    it('reports the former incarnation as removed, so that orders to it are cancelled', () => {
      const kinds: string[] = []
      fleet.changes.subscribe(({ kind }) => kinds.push(kind))
      directory.put({ ...createEntry('r3'), startedAt: 2_000 })
      assert.deepEqual(kinds, ['removed', 'added'])
    })

    it('keeps the state if the start time is the same or missing', () => {
      const before = fleet.find('r3')
      directory.put({ ...createEntry('r3'), startedAt: 1_000 })
      directory.put(createEntry('r3'))
      assert.equal(fleet.find('r3'), before)
    })
  })

  it('removes a server at once when its entry is removed', () => {
    directory.remove('r1')
    assert.deepEqual(listIds(), ['r2'])
  })

  describe('shortly after a store outage', () => {
    beforeEach(() => {
      msSinceRecovery = 100
    })

    it('keeps the state of a server that publishes its entry again', async () => {
      const before = fleet.find('r1')
      directory.removeAllExcept(new Set())
      await clock.advance(2_000)
      directory.put(createEntry('r1'))
      await clock.advance(5_000)
      assert.deepEqual(listIds(), ['r1'])
      assert.equal(fleet.find('r1'), before)
    })

    it('removes a server whose entry is still missing after the grace period', async () => {
      directory.remove('r1')
      directory.remove('r1')
      await clock.advance(2_300)
      assert.ok(listIds().includes('r1'))
      await clock.advance(200)
      assert.deepEqual(listIds(), ['r2'])
    })

    it('removes a draining server at once', () => {
      directory.remove('r2')
      assert.deepEqual(listIds(), ['r1'])
    })
  })

  // Guards against requests to a server that has stopped, after an outage in which its entry could have expired.
  describe('shortly after a store outage, with servers that stop sooner than they would publish their entries again', () => {
    const SHORT_DRAIN_MS = 2_000

    beforeEach(() => {
      msSinceRecovery = 0
      directory = new BackendDirectory({ clock, fleet, readMsSinceRecovery: () => msSinceRecovery, drainMs: SHORT_DRAIN_MS })
      directory.put(createEntry('r1'))
    })

    it('removes a server before it would stop', async () => {
      directory.remove('r1')
      await clock.advance(SHORT_DRAIN_MS - 500)
      assert.deepEqual(listIds(), ['r2'])
    })

    it('keeps a server for longer than a heartbeat', async () => {
      directory.removeAllExcept(new Set(['r2']))
      await clock.advance(1_300)
      assert.deepEqual(listIds().sort(), ['r1', 'r2'])
      directory.put(createEntry('r1'))
      await clock.advance(10_000)
      assert.deepEqual(listIds().sort(), ['r1', 'r2'])
    })
  })

  describe('after the store was restored from an older snapshot', () => {
    const RESTORED_VERSION = 100
    /** Time after which the entry of a stopped server has expired again. */
    const STALE_ENTRY_EXPIRY_MS = 5_000
    const isDraining = (id: string): boolean | undefined => fleet.find(id)?.entry.draining

    const restore = (...entries: BackendEntry[]): void => {
      msSinceRecovery = 0
      directory.handleRestore(RESTORED_VERSION)
      for (const entry of entries) directory.put(entry, RESTORED_VERSION - 10)
      directory.removeAllExcept(new Set(entries.map(({ id }) => id)))
    }

    // Guards against an older entry that undoes the drain of a server.
    it('keeps a server draining until it publishes a newer entry', async () => {
      restore(createEntry('r1'), createEntry('r2'))
      await clock.advance(2 * STALE_ENTRY_EXPIRY_MS)
      directory.put(createEntry('r2'), RESTORED_VERSION - 10)
      assert.equal(isDraining('r2'), true)
      directory.put(createEntry('r2'), RESTORED_VERSION + 1)
      assert.equal(isDraining('r2'), false)
    })

    it('applies a drain from an entry of any version', () => {
      restore(createEntry('r1', true), createEntry('r2', true))
      assert.equal(isDraining('r1'), true)
    })

    // Guards against requests to a server that stopped after the snapshot was taken.
    it('restores a removed server only if its entry outlasts the expiry of stale entries', async () => {
      directory.remove('r1')
      restore(createEntry('r1'), createEntry('r2', true))
      await clock.advance(STALE_ENTRY_EXPIRY_MS - 100)
      assert.deepEqual(listIds(), ['r2'])
      await clock.advance(100)
      assert.equal(isDraining('r1'), false)
    })

    it('does not restore a server whose entry is removed again, and restores one that publishes its entry at once', async () => {
      for (const id of ['r1', 'r2']) directory.remove(id)
      restore(createEntry('r1'), createEntry('r2'))
      directory.remove('r1')
      directory.put(createEntry('r2'), RESTORED_VERSION + 1)
      await clock.advance(2 * STALE_ENTRY_EXPIRY_MS)
      assert.deepEqual(listIds(), ['r2'])
    })

    it('does not use a removed draining server again before it publishes its entry', async () => {
      directory.remove('r2')
      restore(createEntry('r1'), createEntry('r2'))
      await clock.advance(2 * STALE_ENTRY_EXPIRY_MS)
      assert.notEqual(isDraining('r2'), false)
    })

    it('keeps servers missing from the snapshot until they have had time to publish their entries', async () => {
      restore()
      await clock.advance(2_400)
      assert.deepEqual(listIds(), ['r1'])
      directory.put(createEntry('r1'), RESTORED_VERSION + 1)
      await clock.advance(2 * STALE_ENTRY_EXPIRY_MS)
      assert.deepEqual(listIds(), ['r1'])
    })

    it('adds unknown servers', () => {
      restore(createEntry('r1'), createEntry('r3'))
      assert.equal(isDraining('r3'), false)
    })

    it('keeps its state when the store is restored a second time', async () => {
      restore(createEntry('r1'), createEntry('r2'))
      await clock.advance(STALE_ENTRY_EXPIRY_MS - 100)
      directory.handleRestore(2 * RESTORED_VERSION)
      directory.put(createEntry('r2'), 2 * RESTORED_VERSION - 10)
      await clock.advance(2 * STALE_ENTRY_EXPIRY_MS)
      assert.equal(isDraining('r2'), true)
    })

    // Guards against an instance that starts during a restore and relies on outdated entries.
    describe('seen by an instance that starts meanwhile', () => {
      let newDirectory: BackendDirectory
      let newFleet: BackendFleet
      const listReady = (): string[] => newFleet.listAll().filter(({ entry }) => !entry.draining).map(({ id }) => id).sort()
      const listStore = (): void => {
        for (const id of ['r1', 'r2', 'r3']) newDirectory.put(createEntry(id), RESTORED_VERSION - 10)
      }
      const sendStale = (): void => {
        const stale = directory.describeStaleServers()
        if (stale) newDirectory.applyStaleServers(stale)
      }

      beforeEach(() => {
        newFleet = new BackendFleet()
        newDirectory = new BackendDirectory({ clock, fleet: newFleet, readMsSinceRecovery: () => LONG_RECOVERED_MS, drainMs: DRAIN_MS })
        directory.put(createEntry('r3'))
        directory.remove('r1')
        restore(createEntry('r1'), createEntry('r2'), createEntry('r3'))
      })

      it('excludes servers that peers know to be gone or draining, whether it lists the store before or after they tell it', () => {
        listStore()
        sendStale()
        assert.deepEqual(listReady(), ['r3'])
        listStore()
        assert.deepEqual(listReady(), ['r3'])
      })

      it('uses a server again once it publishes its entry', () => {
        sendStale()
        listStore()
        newDirectory.put(createEntry('r1'), RESTORED_VERSION + 1)
        sendStale()
        assert.deepEqual(listReady(), ['r1', 'r3'])
      })

      it('uses servers again after a while if their entries persist, except for draining ones', async () => {
        listStore()
        sendStale()
        await clock.advance(STALE_ENTRY_EXPIRY_MS)
        assert.deepEqual(listReady(), ['r1', 'r3'])
      })

      it('is no longer sent out-of-date entries once servers have had time to publish theirs', async () => {
        await clock.advance(STALE_ENTRY_EXPIRY_MS)
        assert.equal(directory.describeStaleServers(), undefined)
      })
    })
  })
})
