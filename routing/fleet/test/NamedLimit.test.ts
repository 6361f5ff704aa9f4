import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import fc from 'fast-check'
import { NamedLimit } from '../src/index.js'

describe('the limit that a server names', () => {
  let limit: NamedLimit
  const hear = (perSecond: number | undefined, sentAt: number, heardAt: number): void => {
    limit.take({ perSecond, saidAfter: sentAt, saidBefore: heardAt })
  }

  beforeEach(() => {
    limit = new NamedLimit()
  })

  it('is none at first, and the one that was named', () => {
    assert.equal(limit.perSecond, undefined)
    hear(3, 10, 20)
    assert.equal(limit.perSecond, 3)
  })

  it('is over when an answer to a request that was sent later names none', () => {
    hear(3, 10, 20)
    hear(undefined, 20, 30)
    assert.equal(limit.perSecond, undefined)
  })

  it('is not over by an answer that may have begun before it was named', () => {
    hear(3, 10, 20)
    hear(undefined, 5, 40)
    assert.equal(limit.perSecond, 3)
  })

  it('is over though answers that began before are heard all the time', () => {
    hear(3, 10, 20)
    for (let at = 15; at < 30; at++) hear(undefined, at, at + 10)
    assert.equal(limit.perSecond, undefined)
  })

  it('rises and falls by what was said later, and is the stricter one where that can\'t be told', () => {
    hear(3, 10, 20)
    hear(8, 15, 25)
    assert.equal(limit.perSecond, 3)
    hear(8, 26, 30)
    assert.equal(limit.perSecond, 8)
    hear(1, 27, 29)
    assert.equal(limit.perSecond, 1)
  })

  it('is not what is heard late, after something that was surely said since', () => {
    hear(undefined, 20, 30)
    hear(1, 5, 19)
    assert.equal(limit.perSecond, undefined)
  })

  it('is the last one said once an answer shows it, whatever overtook what', () => {
    const word = fc.record({ perSecond: fc.option(fc.integer({ min: 0, max: 9 }), { nil: undefined }), delay: fc.integer({ min: 0, max: 40 }) })
    fc.assert(fc.property(fc.array(word, { minLength: 1, maxLength: 30 }), (words) => {
      limit = new NamedLimit()
      // Said one a millisecond, in answers to requests that were sent 10 ms before, and heard in any order.
      const said = words.map(({ perSecond, delay }, at) => ({ perSecond, saidAfter: at - 10, saidBefore: at + delay }))
      for (const statement of said.toSorted((a, b) => a.saidBefore - b.saidBefore)) limit.take(statement)
      const last = words.at(-1)?.perSecond
      const heardAll = Math.max(...said.map(({ saidBefore }) => saidBefore))
      hear(last, heardAll, heardAll + 10)
      assert.equal(limit.perSecond, last)
    }), { seed: 54 })
  })

  it('is never weaker than the weakest that the server may have meant last', () => {
    const word = fc.record({ perSecond: fc.integer({ min: 0, max: 9 }), sentAt: fc.nat(100), lastsMs: fc.integer({ min: 0, max: 40 }) })
    fc.assert(fc.property(fc.array(word, { minLength: 1, maxLength: 20 }), (words) => {
      limit = new NamedLimit()
      const heard = words.toSorted((a, b) => a.sentAt + a.lastsMs - b.sentAt - b.lastsMs)
      for (const { perSecond, sentAt, lastsMs } of heard) hear(perSecond, sentAt, sentAt + lastsMs)
      const latestSent = Math.max(...words.map(({ sentAt }) => sentAt))
      const mayBeLast = words.filter(({ sentAt, lastsMs }) => sentAt + lastsMs >= latestSent)
      assert.ok(limit.perSecond !== undefined && limit.perSecond <= Math.max(...mayBeLast.map(({ perSecond }) => perSecond)))
    }), { seed: 54 })
  })
})
