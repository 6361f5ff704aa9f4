import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ServerBackoff, type CreditUse } from '../src/index.js'

const HOUR_MS = 3_600_000

describe('the rest that a server asked for', () => {
  let backoff: ServerBackoff

  beforeEach(() => {
    backoff = new ServerBackoff()
  })

  it('lasts as long as it said', () => {
    assert.equal(backoff.extend(3_000, 1_000), true)
    assert.equal(backoff.isActive(3_999), true)
    assert.equal(backoff.readLeftMs(3_000), 1_000)
    assert.equal(backoff.isActive(4_000), false)
    assert.equal(backoff.readLeftMs(5_000), 0)
  })

  it('becomes longer by a later one, and never shorter', () => {
    backoff.extend(3_000, 0)
    assert.equal(backoff.extend(1_000, 1_000), false)
    assert.equal(backoff.readLeftMs(1_000), 2_000)
    assert.equal(backoff.extend(3_000, 1_000), true)
    assert.equal(backoff.readLeftMs(1_000), 3_000)
  })

  it('is an hour at the most', () => {
    backoff.extend(1e15, 0)
    assert.equal(backoff.readLeftMs(0), HOUR_MS)
  })

  it('is none when it is asked for no time', () => {
    assert.equal(backoff.extend(0, 10), false)
    assert.equal(backoff.isActive(10), false)
    assert.equal(backoff.hasCredit(), true)
  })

  describe('once it is over', () => {
    const takeAll = (): CreditUse[] => {
      const uses: CreditUse[] = []
      while (backoff.hasCredit() && uses.length < 1_000) uses.push(backoff.take())
      return uses
    }

    it('lets one request follow, and twice as many with each round of answers, until all may', () => {
      backoff.extend(100, 0)
      const rounds: number[] = []
      for (let round = 0; round < 5; round++) {
        const uses = takeAll()
        rounds.push(uses.length)
        uses.forEach((use) => use.noteAnswered())
        uses.forEach((use) => use.end())
      }
      assert.deepEqual(rounds, [1, 2, 4, 8, 1_000])
    })

    it('lets another one follow in place of one that ended without an answer', () => {
      backoff.extend(100, 0)
      takeAll().forEach((use) => use.end())
      assert.equal(takeAll().length, 1)
    })

    it('learns nothing from requests that were sent before it was asked for', () => {
      const before = [backoff.take(), backoff.take()]
      backoff.extend(100, 0)
      before[0]?.noteAnswered()
      before.forEach((use) => use.end())
      assert.equal(takeAll().length, 1)
    })
  })
})
