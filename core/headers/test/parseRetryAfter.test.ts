import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { parseRetryAfter } from '../src/index.js'

const DATE = 'Thu, 03 Dec 2026 04:05:57 GMT'

describe('parseRetryAfter', () => {
  for (const { value, ms } of [
    { value: '3', ms: 3_000 },
    { value: '0', ms: 0 },
    { value: '2.5', ms: 2_500 },
    { value: ' 120 ', ms: 120_000 },
    { value: 'Thu, 03 Dec 2026 04:06:02 GMT', ms: 5_000 },
    { value: 'Thu, 03 Dec 2026 04:05:50 GMT', ms: 0 },
  ]) {
    it(`parses '${value}' as ${ms} ms`, () => {
      assert.equal(parseRetryAfter(value, DATE), ms)
    })
  }

  for (const value of ['', '-3', '+3', '1e9', 'Infinity', 'NaN', '0x10', '3,4', '3s', '1/2/2026', '2026-12-03T04:06:02Z', 'Thu, soon 04:06:02']) {
    it(`rejects '${value}'`, () => {
      assert.equal(parseRetryAfter(value, DATE), undefined)
    })
  }

  it('rejects a date if the response has no valid Date header', () => {
    assert.equal(parseRetryAfter(DATE, undefined), undefined)
    assert.equal(parseRetryAfter(DATE, 'yesterday'), undefined)
  })

  it('never returns a negative time', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.double().map(String), fc.date({ noInvalidDate: true }).map((date) => date.toUTCString())), (value) => {
      const ms = parseRetryAfter(value, DATE)
      assert.ok(ms === undefined || ms >= 0)
    }))
  })
})
