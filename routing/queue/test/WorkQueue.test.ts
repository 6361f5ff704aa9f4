import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { checkProperty } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { WorkQueue } from '../src/index.js'

/** A server with so many places, whose grants are recorded. */
class Bench {
  readonly clock = new ManualClock()
  readonly queue: WorkQueue<{ name: string }>
  readonly granted: string[] = []
  readonly failed: { name: string, error: PulleystackError }[] = []
  free = 0

  constructor (opts: { maxPerPartner?: number, weights?: Record<string, number> } = {}) {
    this.queue = new WorkQueue({ clock: this.clock, maxPerPartner: opts.maxPerPartner ?? 1_000, getWeight: (partner) => opts.weights?.[partner] ?? 1 })
  }

  ask (name: string, opts: { partner?: string, isLookup?: boolean, inMs?: number, lane?: string, signal?: AbortSignal } = {}): void {
    const tryGrant = () => {
      if (this.free <= 0) return undefined
      this.free--
      return { name }
    }
    const { partner = 'p', isLookup = false, inMs = 60_000, lane = 'l' } = opts
    const serviceClass = isLookup ? 'lookup' as const : 'work' as const
    const deadline = this.clock.readTime() + inMs
    const signal = opts.signal ?? new AbortController().signal
    this.queue.acquire({ partner, serviceClass, lane, deadline, signal, tryGrant }).then(
      (grant) => this.granted.push(grant.name),
      (error: PulleystackError) => this.failed.push({ name, error }),
    )
  }

  async give (places: number): Promise<void> {
    this.free += places
    this.queue.pump()
    await this.clock.advance(0)
  }
}

describe('WorkQueue', () => {
  describe('order', () => {
    it('serves the earliest deadline of a class first', async () => {
      const bench = new Bench()
      bench.ask('late', { inMs: 9_000 })
      bench.ask('early', { inMs: 1_000 })
      await bench.give(2)
      assert.deepEqual(bench.granted, ['early', 'late'])
    })

    it('serves lookups before work, with a floor for work', async () => {
      const bench = new Bench()
      for (let i = 0; i < 30; i++) bench.ask(`lookup-${i}`, { isLookup: true })
      for (let i = 0; i < 30; i++) bench.ask(`work-${i}`)
      await bench.give(20)
      const work = bench.granted.filter((name) => name.startsWith('work')).length
      assert.equal(work, 2)
    })

    it('shares places between partners by weight, whatever the length of their queues', async () => {
      const bench = new Bench({ weights: { p: 1, q: 3 } })
      for (let i = 0; i < 200; i++) bench.ask('p', { partner: 'p' })
      for (let i = 0; i < 40; i++) bench.ask('q', { partner: 'q', lane: 'm' })
      await bench.give(40)
      assert.equal(bench.granted.filter((name) => name === 'q').length, 30)
    })

    it('gives no credit for idleness', async () => {
      const bench = new Bench()
      for (let i = 0; i < 100; i++) bench.ask('p', { partner: 'p' })
      await bench.give(50)
      for (let i = 0; i < 100; i++) bench.ask('q', { partner: 'q' })
      bench.granted.length = 0
      await bench.give(20)
      assert.equal(bench.granted.filter((name) => name === 'q').length, 10)
    })
  })

  describe('refusal', () => {
    it('bounds each partner by itself, so that one burst does not shut out the other', async () => {
      const bench = new Bench({ maxPerPartner: 10 })
      for (let i = 0; i < 50; i++) bench.ask(`p${i}`, { partner: 'p' })
      bench.ask('q', { partner: 'q' })
      await bench.clock.advance(0)
      assert.equal(bench.failed.length, 40)
      assert.ok(bench.failed.every(({ name, error }) => name.startsWith('p') && error.code === 'OVERLOADED' && error.ran === 'no'))
      assert.ok(bench.failed[0]?.error.retryAfterSeconds)
    })

    it('answers at the deadline that nothing ran', async () => {
      const bench = new Bench()
      bench.ask('a', { inMs: 500 })
      await bench.clock.advance(600)
      assert.equal(bench.failed[0]?.error.code, 'DEADLINE_NOT_RUN')
      await bench.give(1)
      assert.deepEqual(bench.granted, [])
    })

    it('forgets a caller that went away', async () => {
      const bench = new Bench()
      const abort = new AbortController()
      bench.ask('a', { signal: abort.signal })
      abort.abort()
      await bench.give(1)
      assert.deepEqual(bench.granted, [])
      assert.equal(bench.queue.size, 0)
    })
  })

  it('grants each request at most once, answers each exactly once and leaks no place', async () => {
    const ask = fc.record({
      partner: fc.constantFrom('p', 'q'),
      isLookup: fc.boolean(),
      inMs: fc.integer({ min: 1, max: 500 }),
      lane: fc.constantFrom('x', 'y'),
      waitMs: fc.integer({ min: 0, max: 60 }),
      places: fc.integer({ min: 0, max: 2 }),
    })
    await checkProperty([fc.array(ask, { minLength: 1, maxLength: 60 })], async (asks) => {
      const bench = new Bench({ maxPerPartner: 15 })
      let given = 0
      for (const [i, it] of asks.entries()) {
        bench.ask(`r${i}`, it)
        given += it.places
        await bench.give(it.places)
        await bench.clock.advance(it.waitMs)
      }
      await bench.clock.advance(1_000)
      const answered = [...bench.granted, ...bench.failed.map(({ name }) => name)]
      assert.equal(new Set(answered).size, asks.length)
      assert.equal(answered.length, asks.length)
      assert.equal(bench.granted.length + bench.free, given)
      assert.equal(bench.queue.size, 0)
    }, 200)
  })
})
