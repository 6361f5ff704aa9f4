import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ResponseTimes } from '../src/ResponseTimes.js'

const SLOW_MS = 1_200
const FAST_MS = 20

describe('response times', () => {
  let times: ResponseTimes

  const record = (server: string, ms: number, count = 5): void => {
    for (let i = 0; i < count; i++) times.record('r', server, ms)
  }

  beforeEach(() => {
    times = new ResponseTimes()
  })

  it('tell nothing while too few are known', () => {
    record('a', SLOW_MS, 4)
    assert.equal(times.estimateOverdueMs('r', 'a'), 0)
  })

  describe('of a server that is slow', () => {
    it('are not overdue', () => {
      record('a', SLOW_MS)
      record('b', FAST_MS)
      assert.equal(times.estimateOverdueMs('r', 'a'), 2 * SLOW_MS)
      assert.equal(times.estimateOverdueMs('r', 'b'), 2 * FAST_MS)
    })

    it('count only until it has become fast', () => {
      record('a', SLOW_MS)
      record('a', FAST_MS, 32)
      assert.equal(times.estimateOverdueMs('r', 'a'), 2 * FAST_MS)
    })
  })

  it('of other servers count for one of which too little is known', () => {
    record('a', SLOW_MS)
    assert.equal(times.estimateOverdueMs('r', 'b'), 2 * SLOW_MS)
    assert.equal(times.estimateOverdueMs('other', 'b'), 0)
  })
})
