import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { FeedCopy, keepNewest } from '../src/FeedCopy.js'

describe('what a feed holds', () => {
  let copy: FeedCopy

  beforeEach(() => {
    copy = new FeedCopy()
    copy.replace(10, [{ key: 'a', version: 12, value: 'aa' }, { key: 'b', version: 9, value: 'b' }])
  })

  it('takes only what is newer of each object, also where a listing went past its own revision', () => {
    const applied = copy.apply([{ key: 'a', version: 11, value: 'old' }, { key: 'b', version: 11, value: 'new' }], 11)
    assert.deepEqual(applied.map((change) => change.key), ['b'])
    assert.deepEqual(copy.list(), [{ key: 'a', version: 12, value: 'aa' }, { key: 'b', version: 11, value: 'new' }])
  })

  it('refuses a listing that is older than what it had, also after a compaction', () => {
    copy.revision = undefined
    assert.equal(copy.replace(9, []), false)
    assert.equal(copy.replace(10, []), true)
  })

  it('knows how large it is', () => {
    assert.equal(copy.bytes, '"aa""b"'.length)
    copy.apply([{ key: 'a', version: 13, value: undefined }, { key: 'b', version: 14, value: 'bbbb' }], 14)
    assert.equal(copy.bytes, '"bbbb"'.length)
  })

  it('keeps the newest of several changes of one object, whatever their order', () => {
    const changes = [{ key: 'a', version: 3, value: 3 }, { key: 'b', version: 2, value: 2 }, { key: 'a', version: 1, value: 1 }]
    assert.deepEqual(keepNewest(changes).map((change) => change.version), [2, 3])
  })
})
