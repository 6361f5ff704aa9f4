import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import fc from 'fast-check'
import { AdvertisedLimit } from '../src/index.js'

describe('advertised limit', () => {
  let limit: AdvertisedLimit
  const receive = (perSecond: number | undefined, sentAt: number, receivedAt: number): void => {
    limit.update({ perSecond, reportedAfter: sentAt, reportedBefore: receivedAt })
  }

  beforeEach(() => {
    limit = new AdvertisedLimit()
  })

  it('is undefined at first, and then the advertised one', () => {
    assert.equal(limit.perSecond, undefined)
    receive(3, 10, 20)
    assert.equal(limit.perSecond, 3)
  })

  it('ends with a response without a limit to a request sent after the limit was received', () => {
    receive(3, 10, 20)
    receive(undefined, 20, 30)
    assert.equal(limit.perSecond, undefined)
  })

  it('does not end with a response that may have begun before the limit was advertised', () => {
    receive(3, 10, 20)
    receive(undefined, 5, 40)
    assert.equal(limit.perSecond, 3)
  })

  it('ends even if responses that began earlier keep arriving', () => {
    receive(3, 10, 20)
    for (let at = 15; at < 30; at++) receive(undefined, at, at + 10)
    assert.equal(limit.perSecond, undefined)
  })

  it('follows newer reports, and is the stricter one if the order is unknown', () => {
    receive(3, 10, 20)
    receive(8, 15, 25)
    assert.equal(limit.perSecond, 3)
    receive(8, 26, 30)
    assert.equal(limit.perSecond, 8)
    receive(1, 27, 29)
    assert.equal(limit.perSecond, 1)
  })

  it('ignores a delayed report that is older than the current one', () => {
    receive(undefined, 20, 30)
    receive(1, 5, 19)
    assert.equal(limit.perSecond, undefined)
  })

  it('is the newest one once a later response confirms it, in whatever order reports arrive', () => {
    const arbitraryReport = fc.record({ perSecond: fc.option(fc.integer({ min: 0, max: 9 }), { nil: undefined }), delay: fc.integer({ min: 0, max: 40 }) })
    fc.assert(fc.property(fc.array(arbitraryReport, { minLength: 1, maxLength: 30 }), (specs) => {
      limit = new AdvertisedLimit()
      // Reported every millisecond, in responses to requests sent 10 ms before, and received in any order.
      const reports = specs.map(({ perSecond, delay }, at) => ({ perSecond, reportedAfter: at - 10, reportedBefore: at + delay }))
      for (const report of reports.toSorted((a, b) => a.reportedBefore - b.reportedBefore)) limit.update(report)
      const last = specs.at(-1)?.perSecond
      const lastReceivedAt = Math.max(...reports.map(({ reportedBefore }) => reportedBefore))
      receive(last, lastReceivedAt, lastReceivedAt + 10)
      assert.equal(limit.perSecond, last)
    }), { seed: 54 })
  })

  it('never exceeds the highest limit that may be the newest', () => {
    const arbitraryReport = fc.record({ perSecond: fc.integer({ min: 0, max: 9 }), sentAt: fc.nat(100), durationMs: fc.integer({ min: 0, max: 40 }) })
    fc.assert(fc.property(fc.array(arbitraryReport, { minLength: 1, maxLength: 20 }), (specs) => {
      limit = new AdvertisedLimit()
      const inArrivalOrder = specs.toSorted((a, b) => a.sentAt + a.durationMs - b.sentAt - b.durationMs)
      for (const { perSecond, sentAt, durationMs } of inArrivalOrder) receive(perSecond, sentAt, sentAt + durationMs)
      const lastSentAt = Math.max(...specs.map(({ sentAt }) => sentAt))
      const possiblyNewest = specs.filter(({ sentAt, durationMs }) => sentAt + durationMs >= lastSentAt)
      assert.ok(limit.perSecond !== undefined && limit.perSecond <= Math.max(...possiblyNewest.map(({ perSecond }) => perSecond)))
    }), { seed: 54 })
  })
})
