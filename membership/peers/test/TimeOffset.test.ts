import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { TimeOffset } from '../src/TimeOffset.js'

/** Two clocks slewed in opposite directions. */
const DRIFT = 0.0009

describe('TimeOffset', () => {
  it('is unknown before the first valid echo', () => {
    const offset = new TimeOffset()
    assert.equal(offset.convert(5, 0), undefined)
    offset.recordEcho({ sentAt: NaN, peerTime: 1, heldMs: 0 }, 0)
    assert.equal(offset.convert(5, 0), undefined)
  })

  it('never converts a time of the peer to a later one, whatever the travel times', () => {
    const travelMs = fc.integer({ min: 0, max: 5_000 })
    const echo = fc.record({ out: travelMs, heldMs: travelMs, back: travelMs, pauseMs: travelMs })
    fc.assert(fc.property(fc.array(echo, { minLength: 1, maxLength: 20 }), fc.integer(), fc.constantFrom(-DRIFT, 0, DRIFT), (echoes, aheadMs, drift) => {
      const offset = new TimeOffset()
      const readPeerTime = (own: number): number => own * (1 + drift) + aheadMs
      let now = 0
      for (const { out, heldMs, back, pauseMs } of echoes) {
        const sentAt = now
        now += out + heldMs + back
        const peerTime = readPeerTime(sentAt + out + heldMs)
        offset.recordEcho({ sentAt, peerTime, heldMs: heldMs * (1 + drift) }, now)
        now += pauseMs
        const own = now - back
        assert.ok((offset.convert(readPeerTime(own), now) ?? Infinity) <= own + 1e-6)
      }
    }), { seed: 5, numRuns: 300 })
  })

  describe('after a suspension of the own machine, during which its clock stood still', () => {
    const SUSPENDED_MS = 5_000

    it('is updated by the first echo, so that no later time of the peer lies in the future', () => {
      const offset = new TimeOffset()
      offset.recordEcho({ sentAt: 0, peerTime: 1_001, heldMs: 0 }, 2)
      const readPeerTime = (own: number): number => own + 1_000 + SUSPENDED_MS
      offset.recordEcho({ sentAt: 10, peerTime: readPeerTime(11), heldMs: 0 }, 12)
      assert.ok((offset.convert(readPeerTime(20), 20) ?? Infinity) <= 20)
    })

    it('is updated by echoes of any travel times once they contradict the old bound', () => {
      const travelMs = fc.integer({ min: 0, max: 400 })
      const echo = fc.record({ out: travelMs, back: travelMs, pauseMs: travelMs })
      const echoes = fc.array(echo, { minLength: 1, maxLength: 10 })
      fc.assert(fc.property(echoes, echoes, fc.integer({ min: 1_000, max: 60_000 }), (before, after, suspendedMs) => {
        const offset = new TimeOffset()
        let now = 0
        let aheadMs = 0
        const run = ({ out, back, pauseMs }: { out: number, back: number, pauseMs: number }): void => {
          const sentAt = now
          now += out + back
          offset.recordEcho({ sentAt, peerTime: sentAt + out + aheadMs, heldMs: 0 }, now)
          now += pauseMs
        }
        before.forEach(run)
        aheadMs += suspendedMs
        for (const it of after) {
          run(it)
          assert.ok((offset.convert(now + aheadMs, now) ?? Infinity) <= now)
        }
      }), { seed: 6, numRuns: 300 })
    })
  })

  it('keeps the fastest echo', () => {
    const offset = new TimeOffset()
    offset.recordEcho({ sentAt: 0, peerTime: 1_100, heldMs: 0 }, 200)
    offset.recordEcho({ sentAt: 200, peerTime: 1_201, heldMs: 0 }, 202)
    offset.recordEcho({ sentAt: 202, peerTime: 1_500, heldMs: 0 }, 500)
    assert.ok(Math.abs((offset.convert(1_500, 500) ?? 0) - 499) < 1)
  })
})
