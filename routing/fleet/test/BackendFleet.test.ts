import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { BackendFleet, type Backend, type BackendEntry } from '../src/index.js'

const ENTRY: BackendEntry = { id: 'a', service: 's', address: 'h:1', dataHall: 'z', slots: 8, draining: false, models: [{ name: 'm', adapters: [] }], inMemory: [], onDisk: [] }

describe('BackendFleet', () => {
  let fleet: BackendFleet
  let changes: string[]
  const find = (): Backend => fleet.find('a') as Backend
  const put = (changed: Partial<BackendEntry>): void => fleet.put({ ...ENTRY, ...changed })

  beforeEach(() => {
    fleet = new BackendFleet()
    changes = []
    fleet.changes.subscribe(({ kind }) => changes.push(kind))
  })

  for (const [problem, startedAt] of Object.entries({ 'no start time': undefined, 'the same start time': 1_796_000_000_000 })) {
    describe(`with an entry that names another software version and ${problem}`, () => {
      beforeEach(() => {
        put({ startedAt, softwareVersion: 'v1' })
        find().cachedPrefixes.record('m', [{ id: 'p', tokens: 100 }])
        find().recordModel('m', false)
        fleet.recordRetryAfter(find(), 10_000, 0)
        fleet.recordDraining(find())
        put({ startedAt, softwareVersion: 'v2' })
      })

      it('takes the server for another incarnation', () => {
        assert.deepEqual(changes.slice(-2), ['removed', 'added'])
        assert.equal(find().entry.softwareVersion, 'v2')
        assert.equal(find().cachedPrefixes.countCachedTokens('m', [{ id: 'p', tokens: 100 }]), 0)
        assert.equal(find().hasWeights('m'), true)
      })

      it('drops what the former incarnation reported', () => {
        assert.equal(find().entry.draining, false)
        assert.equal(find().reported.backoff.isActive(1), false)
        put({ startedAt, softwareVersion: 'v2', slots: 9 })
        assert.equal(find().entry.draining, false)
      })
    })
  }

  it('keeps the state of a server whose entry names the same version', () => {
    for (const softwareVersion of ['v1', undefined]) {
      put({ softwareVersion })
      const known = find()
      put({ softwareVersion, slots: 9 })
      assert.equal(find(), known)
    }
    const known = find()
    put({ softwareVersion: '' })
    assert.equal(find(), known)
  })
})
