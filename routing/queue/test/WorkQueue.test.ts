import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { checkProperty } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { WorkQueue } from '../src/index.js'

/** A queue in front of a server whose free slots are set by the test; records the outcome of each request. */
class QueueHarness {
  readonly clock = new ManualClock()
  readonly queue: WorkQueue<{ name: string }>
  readonly granted: string[] = []
  readonly failed: { name: string, error: PulleystackError }[] = []
  freeSlots = 0

  constructor (opts: { maxPerPartner?: number, weights?: Record<string, number> } = {}) {
    this.queue = new WorkQueue({ clock: this.clock, maxPerPartner: opts.maxPerPartner ?? 1_000, getWeight: (partner) => opts.weights?.[partner] ?? 1 })
  }

  submit (name: string, opts: { partner?: string, isLookup?: boolean, deadlineInMs?: number, lane?: string, signal?: AbortSignal } = {}): void {
    const tryGrant = () => {
      if (this.freeSlots <= 0) return undefined
      this.freeSlots--
      return { name }
    }
    const { partner = 'p', isLookup = false, deadlineInMs = 60_000, lane = 'l' } = opts
    const serviceClass = isLookup ? 'lookup' as const : 'work' as const
    const deadline = this.clock.readTime() + deadlineInMs
    const signal = opts.signal ?? new AbortController().signal
    this.queue.acquire({ partner, serviceClass, lane, deadline, signal, tryGrant }).then(
      (grant) => this.granted.push(grant.name),
      (error: PulleystackError) => this.failed.push({ name, error }),
    )
  }

  async addSlots (slots: number): Promise<void> {
    this.freeSlots += slots
    this.queue.serveWaiting()
    await this.clock.advance(0)
  }
}

describe('WorkQueue', () => {
  describe('order', () => {
    it('grants the earliest deadline of a class first', async () => {
      const harness = new QueueHarness()
      harness.submit('late', { deadlineInMs: 9_000 })
      harness.submit('early', { deadlineInMs: 1_000 })
      await harness.addSlots(2)
      assert.deepEqual(harness.granted, ['early', 'late'])
    })

    it('prefers lookups, with a minimum share for work', async () => {
      const harness = new QueueHarness()
      for (let i = 0; i < 30; i++) harness.submit(`lookup-${i}`, { isLookup: true })
      for (let i = 0; i < 30; i++) harness.submit(`work-${i}`)
      await harness.addSlots(20)
      const work = harness.granted.filter((name) => name.startsWith('work')).length
      assert.equal(work, 2)
    })

    it('shares slots between partners by weight, regardless of queue length', async () => {
      const harness = new QueueHarness({ weights: { p: 1, q: 3 } })
      for (let i = 0; i < 200; i++) harness.submit('p', { partner: 'p' })
      for (let i = 0; i < 40; i++) harness.submit('q', { partner: 'q', lane: 'm' })
      await harness.addSlots(40)
      assert.equal(harness.granted.filter((name) => name === 'q').length, 30)
    })

    it('gives an idle partner no credit', async () => {
      const harness = new QueueHarness()
      for (let i = 0; i < 100; i++) harness.submit('p', { partner: 'p' })
      await harness.addSlots(50)
      for (let i = 0; i < 100; i++) harness.submit('q', { partner: 'q' })
      harness.granted.length = 0
      await harness.addSlots(20)
      assert.equal(harness.granted.filter((name) => name === 'q').length, 10)
    })
  })

  describe('rejection', () => {
    it('limits each partner separately, so that a burst from one does not block another', async () => {
      const harness = new QueueHarness({ maxPerPartner: 10 })
      for (let i = 0; i < 50; i++) harness.submit(`p${i}`, { partner: 'p' })
      harness.submit('q', { partner: 'q' })
      await harness.clock.advance(0)
      assert.equal(harness.failed.length, 40)
      assert.ok(harness.failed.every(({ name, error }) => name.startsWith('p') && error.code === 'OVERLOADED' && error.ran === 'no'))
      assert.ok(harness.failed[0]?.error.retryAfterSeconds)
    })

    it('rejects a request whose deadline passes while it waits', async () => {
      const harness = new QueueHarness()
      harness.submit('a', { deadlineInMs: 500 })
      await harness.clock.advance(600)
      assert.equal(harness.failed[0]?.error.code, 'DEADLINE_NOT_RUN')
      await harness.addSlots(1)
      assert.deepEqual(harness.granted, [])
    })

    it('removes the request of a caller that disconnected', async () => {
      const harness = new QueueHarness()
      const controller = new AbortController()
      harness.submit('a', { signal: controller.signal })
      controller.abort()
      await harness.addSlots(1)
      assert.deepEqual(harness.granted, [])
      assert.equal(harness.queue.size, 0)
    })
  })

  it('settles each request exactly once and leaks no slot', async () => {
    const request = fc.record({
      partner: fc.constantFrom('p', 'q'),
      isLookup: fc.boolean(),
      deadlineInMs: fc.integer({ min: 1, max: 500 }),
      lane: fc.constantFrom('x', 'y'),
      waitMs: fc.integer({ min: 0, max: 60 }),
      slots: fc.integer({ min: 0, max: 2 }),
    })
    await checkProperty([fc.array(request, { minLength: 1, maxLength: 60 })], async (requests) => {
      const harness = new QueueHarness({ maxPerPartner: 15 })
      let addedSlots = 0
      for (const [i, it] of requests.entries()) {
        harness.submit(`r${i}`, it)
        addedSlots += it.slots
        await harness.addSlots(it.slots)
        await harness.clock.advance(it.waitMs)
      }
      await harness.clock.advance(1_000)
      const answered = [...harness.granted, ...harness.failed.map(({ name }) => name)]
      assert.equal(new Set(answered).size, requests.length)
      assert.equal(answered.length, requests.length)
      assert.equal(harness.granted.length + harness.freeSlots, addedSlots)
      assert.equal(harness.queue.size, 0)
    }, 200)
  })
})
