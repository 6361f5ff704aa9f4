import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AdaptiveLimiter, RateLimiter } from '../src/index.js'

/** Simulates a server with a fixed number of slots, where requests beyond them queue; returns the end time in milliseconds. */
function runLoad (limiter: AdaptiveLimiter, slots: number, requests: number, startMs: number): number {
  let now = startMs
  for (let i = 0; i < requests; i++) {
    const inFlight = limiter.limit
    const waiting = Math.max(0, inFlight - slots)
    const firstByteMs = 20 * (1 + waiting / slots * 2)
    now += firstByteMs / inFlight
    limiter.addSample({ firstByteMs, inFlight, waitingShare: waiting / slots, serviceMs: 20, overloaded: false, now })
  }
  return now
}

describe('AdaptiveLimiter', () => {
  it('converges to roughly the number of slots of a server', () => {
    const limiter = new AdaptiveLimiter({ initialLimit: 8 })
    runLoad(limiter, 24, 5_000, 0)
    assert.ok(limiter.limit >= 18 && limiter.limit <= 38, `limit ${limiter.limit}`)
  })

  it('follows a server that loses slots and regains them', () => {
    const limiter = new AdaptiveLimiter({ initialLimit: 8 })
    const restrictedAt = runLoad(limiter, 24, 5_000, 0)
    const restoredAt = runLoad(limiter, 6, 5_000, restrictedAt)
    assert.ok(limiter.limit <= 12, `limit ${limiter.limit} with 6 slots`)
    runLoad(limiter, 24, 8_000, restoredAt)
    assert.ok(limiter.limit >= 16, `limit ${limiter.limit} with 24 slots again`)
  })

  it('never goes below one', () => {
    const limiter = new AdaptiveLimiter({ initialLimit: 2 })
    for (let i = 0; i < 100; i++) limiter.addSample({ firstByteMs: 1_000, inFlight: 2, waitingShare: 1, serviceMs: 20, overloaded: true, now: i * 5_000 })
    assert.equal(limiter.limit, 1)
  })

  it('does not grow while less than half of it is in use', () => {
    const limiter = new AdaptiveLimiter({ initialLimit: 8 })
    for (let i = 0; i < 1_000; i++) limiter.addSample({ firstByteMs: 10, inFlight: 1, waitingShare: 0, serviceMs: 20, overloaded: false, now: i * 10 })
    assert.equal(limiter.limit, 8)
  })
})

describe('RateLimiter', () => {
  it('allows the configured rate across all instances', () => {
    const limiters = Array.from({ length: 4 }, () => new RateLimiter())
    let allowed = 0
    for (let ms = 0; ms < 10_000; ms += 5) {
      for (const limiter of limiters) allowed += limiter.take('s', 100, 4, ms) === 0 ? 1 : 0
    }
    assert.ok(allowed >= 1_000 && allowed <= 1_110, `${allowed}`)
  })

  it('returns the seconds until the next token', () => {
    const limiter = new RateLimiter()
    limiter.take('s', 1, 1, 0)
    const seconds = limiter.take('s', 1, 1, 0)
    assert.ok(seconds > 0 && seconds <= 1)
  })
})
