import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { listDifferences, mergeThreeWay } from '../src/index.js'

describe('mergeThreeWay', () => {
  it('keeps fields set by others, removes fields that are no longer desired, and sets desired ones', () => {
    const last = { a: 1, b: 2 }
    const desired = { a: 5 }
    const current = { a: 1, b: 2, c: 3 }
    assert.deepEqual(mergeThreeWay(last, desired, current), { a: 5, c: 3 })
  })

  it('merges nested maps and replaces lists as a whole', () => {
    const merged = mergeThreeWay({ m: { x: 1 } }, { m: { x: 2 }, l: [1] }, { m: { x: 1, y: 1 }, l: [2, 3] })
    assert.deepEqual(merged, { m: { x: 2, y: 1 }, l: [1] })
  })
})

describe('listDifferences', () => {
  it('returns dotted paths', () => {
    assert.deepEqual(listDifferences({ a: { b: 1 } }, { a: { b: 2 } }), [{ field: 'a.b', before: 1, after: 2 }])
  })
})
