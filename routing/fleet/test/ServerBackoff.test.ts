import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ServerBackoff, type RampUpRequest } from '../src/index.js'

const HOUR_MS = 3_600_000

describe('server backoff', () => {
  let backoff: ServerBackoff

  beforeEach(() => {
    backoff = new ServerBackoff()
  })

  it('lasts for the requested time', () => {
    assert.equal(backoff.extend(3_000, 1_000), true)
    assert.equal(backoff.isActive(3_999), true)
    assert.equal(backoff.readRemainingMs(3_000), 1_000)
    assert.equal(backoff.isActive(4_000), false)
    assert.equal(backoff.readRemainingMs(5_000), 0)
  })

  it('is extended by a later request, but never shortened', () => {
    backoff.extend(3_000, 0)
    assert.equal(backoff.extend(1_000, 1_000), false)
    assert.equal(backoff.readRemainingMs(1_000), 2_000)
    assert.equal(backoff.extend(3_000, 1_000), true)
    assert.equal(backoff.readRemainingMs(1_000), 3_000)
  })

  it('is capped at one hour', () => {
    backoff.extend(1e15, 0)
    assert.equal(backoff.readRemainingMs(0), HOUR_MS)
  })

  it('is not started by a request for no time', () => {
    assert.equal(backoff.extend(0, 10), false)
    assert.equal(backoff.isActive(10), false)
    assert.equal(backoff.hasAllowance(), true)
  })

  describe('once it has ended', () => {
    const takeAll = (): RampUpRequest[] => {
      const uses: RampUpRequest[] = []
      while (backoff.hasAllowance() && uses.length < 1_000) uses.push(backoff.takeAllowance())
      return uses
    }

    it('allows one request, then twice as many with each round of responses, until the ramp-up ends', () => {
      backoff.extend(100, 0)
      const rounds: number[] = []
      for (let round = 0; round < 5; round++) {
        const uses = takeAll()
        rounds.push(uses.length)
        uses.forEach((use) => use.recordResponse())
        uses.forEach((use) => use.end())
      }
      assert.deepEqual(rounds, [1, 2, 4, 8, 1_000])
    })

    it('allows another request in place of one that ended without a response', () => {
      backoff.extend(100, 0)
      takeAll().forEach((use) => use.end())
      assert.equal(takeAll().length, 1)
    })

    it('ignores responses to requests sent before the backoff', () => {
      const earlier = [backoff.takeAllowance(), backoff.takeAllowance()]
      backoff.extend(100, 0)
      earlier[0]?.recordResponse()
      earlier.forEach((use) => use.end())
      assert.equal(takeAll().length, 1)
    })
  })
})
