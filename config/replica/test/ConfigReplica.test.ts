import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { buildObjectKey, Kinds, type ConfigObject } from '@pulleystack/config.objects'
import { buildCaller } from '@pulleystack/tools.testing'
import { ConfigReplica } from '../src/index.js'

const KEY = buildObjectKey(Kinds.CALLER, 'p', 'c')

function buildValue (tier: string): ConfigObject {
  return buildCaller('p', 'c', 'k', { tier })
}

function readTier (replica: ConfigReplica): string | undefined {
  return replica.readObject(KEY)?.labels?.tier
}

describe('ConfigReplica', () => {
  describe('versions', () => {
    it('ignores an older version that arrives late', () => {
      const replica = new ConfigReplica()
      replica.applyEntry({ key: KEY, version: 5, value: buildValue('new') })
      assert.equal(replica.applyEntry({ key: KEY, version: 4, value: buildValue('old') }), false)
      assert.equal(readTier(replica), 'new')
    })

    it('does not restore a deleted object when an older update arrives after the deletion', () => {
      const replica = new ConfigReplica()
      replica.applyEntry({ key: KEY, version: 4, value: buildValue('old') })
      replica.applyEntry({ key: KEY, version: 6, value: undefined })
      replica.applyEntry({ key: KEY, version: 5, value: buildValue('late') })
      assert.equal(replica.readObject(KEY), undefined)
    })

    it('does not restore a deleted object after its tombstone was dropped', () => {
      const replica = new ConfigReplica()
      replica.applyEntry({ key: KEY, version: 4, value: buildValue('old') })
      replica.applyEntry({ key: KEY, version: 6, value: undefined })
      replica.applyListing({ objects: [], version: 9 })
      assert.equal(replica.size, 0)
      replica.applyEntry({ key: KEY, version: 5, value: buildValue('late') })
      assert.equal(replica.readObject(KEY), undefined)
    })
  })

  it('reports the newest version from any source', () => {
    const replica = new ConfigReplica()
    replica.applyListing({ objects: [], version: 3 })
    replica.applyEntry({ key: KEY, version: 7, value: buildValue('relayed') })
    assert.equal(replica.newestVersion, 7)
    assert.equal(replica.knownThrough, 3)
  })

  describe('listings', () => {
    it('keeps objects that are newer than a delayed listing', () => {
      const replica = new ConfigReplica()
      replica.applyEntry({ key: KEY, version: 8, value: buildValue('new') })
      replica.applyListing({ objects: [], version: 7 })
      assert.equal(readTier(replica), 'new')
    })

    it('removes objects that are missing in a newer listing', () => {
      const replica = new ConfigReplica()
      replica.applyEntry({ key: KEY, version: 8, value: buildValue('new') })
      replica.applyListing({ objects: [], version: 9 })
      assert.equal(replica.readObject(KEY), undefined)
    })

    it('applies objects that a watch with a gap missed', () => {
      const replica = new ConfigReplica()
      replica.applyBatch({ changes: [], version: 9 })
      replica.applyListing({ objects: [{ key: KEY, version: 8, value: buildValue('missed') }], version: 9 })
      assert.equal(readTier(replica), 'missed')
    })

    it('accepts from a peer an object that a watch with a gap missed', () => {
      const replica = new ConfigReplica()
      replica.applyListing({ objects: [], version: 2 })
      replica.applyBatch({ changes: [], version: 9 })
      assert.equal(replica.applyEntry({ key: KEY, version: 8, value: buildValue('missed') }), true)
    })
  })

  describe('a rejected version', () => {
    it('leaves the last accepted version effective and reports the error', () => {
      const replica = new ConfigReplica()
      replica.applyEntry({ key: KEY, version: 1, value: buildValue('good') })
      replica.applyEntry({ key: KEY, version: 2, value: { ...buildValue('bad'), spec: { keyHashes: [] } } })
      assert.equal(readTier(replica), 'good')
      assert.equal(replica.listRejections()[0]?.error.field, 'spec.keyHashes')
    })

    it('relays the accepted version to a replica that never received it', () => {
      const replica = new ConfigReplica()
      replica.applyEntry({ key: KEY, version: 1, value: buildValue('good') })
      replica.applyEntry({ key: KEY, version: 2, value: { kind: 'Caller' } })
      const other = new ConfigReplica()
      replica.readEntries([KEY]).forEach((entry) => other.applyEntry(entry))
      assert.equal(readTier(other), 'good')
    })

    it('is reported if it is stored under another object\'s key', () => {
      const replica = new ConfigReplica()
      replica.applyEntry({ key: buildObjectKey(Kinds.CALLER, 'q', 'c'), version: 1, value: buildValue('foreign') })
      assert.equal(replica.listRejections().length, 1)
    })
  })
})
