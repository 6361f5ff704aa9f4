import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { FeedReplica, keepNewest } from '../src/FeedReplica.js'

describe('FeedReplica', () => {
  let replica: FeedReplica

  beforeEach(() => {
    replica = new FeedReplica()
    replica.replace(10, [{ key: 'a', version: 12, value: 'aa' }, { key: 'b', version: 9, value: 'b' }])
  })

  it('applies only newer versions of each object, even if a listing has an object newer than its revision', () => {
    const applied = replica.apply([{ key: 'a', version: 11, value: 'old' }, { key: 'b', version: 11, value: 'new' }], 11)
    assert.deepEqual(applied.map((change) => change.key), ['b'])
    assert.deepEqual(replica.list(), [{ key: 'a', version: 12, value: 'aa' }, { key: 'b', version: 11, value: 'new' }])
  })

  it('rejects a listing older than its newest revision, even after a compaction', () => {
    replica.revision = undefined
    assert.equal(replica.replace(9, []), false)
    assert.equal(replica.replace(10, []), true)
  })

  it('tracks its size in bytes', () => {
    assert.equal(replica.bytes, '"aa""b"'.length)
    replica.apply([{ key: 'a', version: 13, value: undefined }, { key: 'b', version: 14, value: 'bbbb' }], 14)
    assert.equal(replica.bytes, '"bbbb"'.length)
  })

  it('keeps the newest of several changes of one object in any order', () => {
    const changes = [{ key: 'a', version: 3, value: 3 }, { key: 'b', version: 2, value: 2 }, { key: 'a', version: 1, value: 1 }]
    assert.deepEqual(keepNewest(changes).map((change) => change.version), [2, 3])
  })
})
