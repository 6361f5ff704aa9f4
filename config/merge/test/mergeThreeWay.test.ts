import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { listDifferences, mergeThreeWay } from '../src/index.js'

describe('mergeThreeWay', () => {
  it('keeps what somebody else set, removes what is no longer asked for, and sets what is', () => {
    const last = { a: 1, b: 2 }
    const wanted = { a: 5 }
    const standing = { a: 1, b: 2, c: 3 }
    assert.deepEqual(mergeThreeWay(last, wanted, standing), { a: 5, c: 3 })
  })

  it('merges inside maps and replaces lists whole', () => {
    const merged = mergeThreeWay({ m: { x: 1 } }, { m: { x: 2 }, l: [1] }, { m: { x: 1, y: 1 }, l: [2, 3] })
    assert.deepEqual(merged, { m: { x: 2, y: 1 }, l: [1] })
  })
})

describe('listDifferences', () => {
  it('names fields with dots', () => {
    assert.deepEqual(listDifferences({ a: { b: 1 } }, { a: { b: 2 } }), [{ field: 'a.b', before: 1, after: 2 }])
  })
})
