import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { TimeOffset } from '../src/TimeOffset.js'

/** Both clocks slewed by a time daemon, the other way. */
const DRIFT = 0.0009

describe('the offset of a peer\'s monotone clock', () => {
  it('is not known before the first echo, nor by one that makes no sense', () => {
    const offset = new TimeOffset()
    assert.equal(offset.convert(5, 0), undefined)
    offset.noteEcho({ sentAt: NaN, theirTime: 1, heldMs: 0 }, 0)
    assert.equal(offset.convert(5, 0), undefined)
  })

  it('never makes a peer\'s time later than it was, whatever the ways of the echoes took', () => {
    const way = fc.integer({ min: 0, max: 5_000 })
    const echo = fc.record({ out: way, heldMs: way, back: way, pauseMs: way })
    fc.assert(fc.property(fc.array(echo, { minLength: 1, maxLength: 20 }), fc.integer(), fc.constantFrom(-DRIFT, 0, DRIFT), (echoes, ahead, drift) => {
      const offset = new TimeOffset()
      const readTheirs = (own: number): number => own * (1 + drift) + ahead
      let now = 0
      for (const { out, heldMs, back, pauseMs } of echoes) {
        const sentAt = now
        now += out + heldMs + back
        const theirTime = readTheirs(sentAt + out + heldMs)
        offset.noteEcho({ sentAt, theirTime, heldMs: heldMs * (1 + drift) }, now)
        now += pauseMs
        const own = now - back
        assert.ok((offset.convert(readTheirs(own), now) ?? Infinity) <= own + 1e-6)
      }
    }), { seed: 5, numRuns: 300 })
  })

  describe('after the own machine was suspended, whose clock stood still meanwhile', () => {
    const SUSPENDED_MS = 5_000

    it('is learnt anew by the first echo, so that no later time of the peer lies in the future', () => {
      const offset = new TimeOffset()
      offset.noteEcho({ sentAt: 0, theirTime: 1_001, heldMs: 0 }, 2)
      const readTheirs = (own: number): number => own + 1_000 + SUSPENDED_MS
      offset.noteEcho({ sentAt: 10, theirTime: readTheirs(11), heldMs: 0 }, 12)
      assert.ok((offset.convert(readTheirs(20), 20) ?? Infinity) <= 20)
    })

    it('is learnt anew by echoes of whatever ways, once they prove that the clocks moved against each other', () => {
      const way = fc.integer({ min: 0, max: 400 })
      const echo = fc.record({ out: way, back: way, pauseMs: way })
      const echoes = fc.array(echo, { minLength: 1, maxLength: 10 })
      fc.assert(fc.property(echoes, echoes, fc.integer({ min: 1_000, max: 60_000 }), (before, after, suspendedMs) => {
        const offset = new TimeOffset()
        let now = 0
        let ahead = 0
        const run = ({ out, back, pauseMs }: { out: number, back: number, pauseMs: number }): void => {
          const sentAt = now
          now += out + back
          offset.noteEcho({ sentAt, theirTime: sentAt + out + ahead, heldMs: 0 }, now)
          now += pauseMs
        }
        before.forEach(run)
        ahead += suspendedMs
        for (const it of after) {
          run(it)
          assert.ok((offset.convert(now + ahead, now) ?? Infinity) <= now)
        }
      }), { seed: 6, numRuns: 300 })
    })
  })

  it('keeps the echo that was fastest', () => {
    const offset = new TimeOffset()
    offset.noteEcho({ sentAt: 0, theirTime: 1_100, heldMs: 0 }, 200)
    offset.noteEcho({ sentAt: 200, theirTime: 1_201, heldMs: 0 }, 202)
    offset.noteEcho({ sentAt: 202, theirTime: 1_500, heldMs: 0 }, 500)
    assert.ok(Math.abs((offset.convert(1_500, 500) ?? 0) - 499) < 1)
  })
})
