import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { BackendFleet } from '@pulleystack/routing.fleet'
import { OriginTable } from '../src/OriginTable.js'
import { RETENTION_MS, VersionHistory } from '../src/index.js'

describe('records of limited number and age', () => {
  let clock: ManualClock

  beforeEach(() => {
    clock = new ManualClock()
  })

  describe('of versions', () => {
    let fleet: BackendFleet
    let versions: VersionHistory
    let changes: string[]

    const put = (id: string, service: string, softwareVersion?: string, draining = false): void => {
      fleet.put({ id, service, address: id, dataHall: 'z', slots: 1, draining, models: undefined, inMemory: [], onDisk: [], softwareVersion })
    }

    beforeEach(() => {
      fleet = new BackendFleet()
      put('a', 's', 'v1')
      versions = new VersionHistory({ clock, fleet })
      changes = []
      versions.changes.subscribe((service) => changes.push(service))
    })

    it('count while an entry names them, also of a draining server, and two minutes longer', async () => {
      put('b', 's')
      put('a', 's', 'v1', true)
      await clock.advance(2 * RETENTION_MS)
      assert.equal(versions.isMixed('s'), true)
      fleet.remove('a')
      await clock.advance(RETENTION_MS - 1)
      assert.deepEqual(changes, ['s'])
      assert.equal(versions.findSole('s'), undefined)
      await clock.advance(1)
      assert.equal(versions.findSole('s'), '')
      put('a', 's', 'v1')
      assert.deepEqual(changes, ['s', 's'])
    })

    it('count for as long as a peer saw them', async () => {
      versions.applyFromPeer({ service: 's', version: 'v0', msAgo: RETENTION_MS - 500 })
      assert.deepEqual(changes, ['s'])
      await clock.advance(500)
      assert.equal(versions.findSole('s'), 'v1')
    })

    it('leave a service mixed for as long when the oldest are dropped', async () => {
      fleet.remove('a')
      for (let at = 0; at < 40; at++) {
        put('b', 's', `w${at}`)
        await clock.advance(100)
      }
      fleet.remove('b')
      assert.deepEqual(versions.list('s').map(({ version }) => version), Array.from({ length: 16 }, (_, at) => `w${at + 24}`))
      await clock.advance(RETENTION_MS - 101)
      assert.equal(versions.isMixed('s'), true)
      await clock.advance(1)
      assert.equal(versions.findSole('s'), 'w39')
    })

    it('let services count as mixed whose versions may have been dropped', async () => {
      for (let at = 0; at < 1_030; at++) versions.applyFromPeer({ service: `t${at}`, version: 'v0', msAgo: 0 })
      put('b', 't0', 'v1')
      assert.equal(versions.isMixed('t0'), true)
      assert.equal(versions.findSole('s'), 'v1')
      await clock.advance(RETENTION_MS)
      assert.equal(versions.findSole('t0'), 'v1')
    })
  })

  describe('of origins', () => {
    const ORIGIN = { service: 's', version: 'v1' }

    it('are dropped beyond their number, the oldest first', () => {
      const table = new OriginTable(clock, 3)
      for (const id of ['a', 'b', 'c', 'd']) table.record(id, ORIGIN, true)
      assert.deepEqual(table.listOwn('s').map(([id]) => id), ['d', 'c', 'b'])
    })

    it('expire by the clock, also at time 0, unless they are used', async () => {
      const table = new OriginTable(clock)
      for (const id of ['a', 'b', 'c']) table.record(id, ORIGIN, true)
      await clock.advance(RETENTION_MS / 2)
      table.record('b', ORIGIN, false)
      await clock.advance(RETENTION_MS / 2)
      assert.equal(table.count(), 1)
      assert.deepEqual(table.find('b'), ORIGIN)
    })
  })
})
