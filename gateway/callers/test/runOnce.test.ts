import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { ClaimClient, type KeptOutcome } from '@pulleystack/routing.claims'
import { EventRing } from '@pulleystack/timeline.events'
import { checkProperty, createView, MortalStore } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { runOnce, type RunOnceOptions } from '../src/runOnce.js'

const NAMES = ['a', 'b', 'c']
const RUN_MS = 30

interface Node extends RunOnceOptions {
  name: string
  store: MortalStore
}

interface Answer {
  request: string
  key: string
  outcome?: KeptOutcome
  error?: PulleystackError
}

/** Three instances on one store, with what ran and what callers were told. */
class Bench {
  readonly clock = new ManualClock()
  readonly store = new MemoryObjectStore({ clock: this.clock })
  readonly hub = new FakeHub({ clock: this.clock, random: new RandomSource(5) })
  readonly nodes: Node[]
  readonly ran: { request: string, key: string }[] = []
  readonly answers: Answer[] = []
  private ids = 0

  constructor () {
    this.nodes = NAMES.map((name) => this.createNode(name))
  }

  private createNode (name: string): Node {
    const { clock } = this
    const { view, identity } = createView(clock, name, NAMES)
    const store = new MortalStore(this.store)
    const network = this.hub.createNode(identity)
    const claims = new ClaimClient({
      clock,
      view,
      network,
      store,
      shards: 2,
      keepMs: 600_000,
      writesPerSecond: 40,
      createOperation: () => `${name}-${this.ids++}`,
    })
    return { name, store, clock, view, claims, ring: new EventRing({ clock, instance: name, dataHall: 'h' }) }
  }

  kill (i: number): void {
    const node = this.nodes[i] as Node
    node.store.dead = true
    this.hub.removeNode(node.name)
    this.clock.setTimer(1_500, () => this.nodes.forEach((other) => other.view.noteSilent(node.name)))
  }

  /** A caller's request; the work takes a moment, and says at its end what `effect` wants. */
  send (i: number, key: string, opts: { body?: string, effect?: 'ok' | 'unknown' | 'no', deadlineMs?: number } = {}): Promise<Answer> {
    const node = this.nodes[i] as Node
    const request = `r${this.ids++}`
    const once = {
      request,
      partner: 'p',
      caller: 'c',
      key,
      method: 'POST',
      path: '/x',
      body: Buffer.from(opts.body ?? ''),
      deadline: this.clock.readTime() + (opts.deadlineMs ?? 5_000),
      signal: new AbortController().signal,
    }
    const run = async (): Promise<KeptOutcome> => {
      await this.clock.wait(RUN_MS)
      if (node.store.dead) return new Promise(() => undefined)
      if (opts.effect === 'no') throw new PulleystackError('BACKEND_REFUSED', 'refused')
      this.ran.push({ request, key })
      if (opts.effect === 'unknown') throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'lost')
      return { status: 200, contentType: 't', body: `done by ${request}` }
    }
    const answer = runOnce(node, once, run).then(
      (outcome): Answer => ({ request, key, outcome }),
      (thrown): Answer => ({ request, key, error: convertToError(thrown) }),
    )
    return answer.then((it) => {
      if (!node.store.dead) this.answers.push(it)
      return it
    })
  }

  /** What must always hold. */
  check (): void {
    const runs = new Map<string, string[]>()
    for (const { key, request } of this.ran) runs.set(key, [...runs.get(key) ?? [], request])
    for (const [key, requests] of runs) assert.equal(requests.length, 1, `${key} ran ${requests.length} times`)
    for (const answer of this.answers) {
      const ranByIt = this.ran.some((it) => it.request === answer.request)
      if (answer.error?.ran === Ran.NO) assert.equal(ranByIt, false, `${answer.request} was told that it did not run: ${answer.error.message}`)
      if (answer.outcome) assert.equal(answer.outcome.body, `done by ${runs.get(answer.key)?.[0]}`)
    }
  }
}

const step = fc.oneof(
  { weight: 8, arbitrary: fc.record({ do: fc.constant('send' as const), node: fc.nat(2), key: fc.nat(3), effect: fc.constantFrom('ok' as const, 'unknown' as const, 'no' as const), deadlineMs: fc.constantFrom(100, 2_000, 8_000) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('kill' as const), node: fc.nat(2) }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('loseAnswers' as const), count: fc.integer({ min: 1, max: 3 }) }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('loseWrites' as const), count: fc.integer({ min: 1, max: 3 }) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('down' as const), ms: fc.integer({ min: 100, max: 4_000 }) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('slow' as const), ms: fc.integer({ min: 0, max: 300 }) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('cut' as const), a: fc.nat(2), b: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('lossy' as const), share: fc.double({ min: 0, max: 0.5, noNaN: true }) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('heal' as const) }) },
)

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never

function takeStep (bench: Bench, it: Step): void {
  if (it.do === 'send') void bench.send(it.node, `k${it.key}`, { effect: it.effect, deadlineMs: it.deadlineMs })
  else if (it.do === 'kill') bench.kill(it.node)
  else if (it.do === 'loseAnswers') bench.store.faults.loseAnswers += it.count
  else if (it.do === 'loseWrites') bench.store.faults.loseWrites += it.count
  else if (it.do === 'slow') bench.store.faults.delayMs = it.ms
  else if (it.do === 'cut') bench.hub.cut(NAMES[it.a] as string, NAMES[it.b] as string)
  else if (it.do === 'lossy') bench.hub.lossShare = it.share
  else if (it.do === 'down') {
    bench.store.faults.down = true
    bench.clock.setTimer(it.ms, () => {
      bench.store.faults.down = false
    })
  } else {
    bench.hub.healAll()
    bench.hub.lossShare = 0
  }
}

describe('runOnce', () => {
  describe('when nothing fails', () => {
    it('gives a repeat the outcome of the first request', async () => {
      const bench = new Bench()
      const first = bench.send(0, 'k')
      await bench.clock.advance(2_000)
      const second = bench.send(1, 'k')
      await bench.clock.advance(2_000)
      assert.equal((await second).outcome?.body, (await first).outcome?.body)
      assert.equal(bench.ran.length, 1)
    })

    it('refuses the same key with another body', async () => {
      const bench = new Bench()
      void bench.send(0, 'k', { body: 'one' })
      await bench.clock.advance(1_000)
      const other = bench.send(1, 'k', { body: 'two' })
      await bench.clock.advance(1_000)
      assert.equal((await other).error?.code, 'KEY_REUSED')
    })

    it('runs once when two instances get the key at the same moment', async () => {
      const bench = new Bench()
      const both = [bench.send(0, 'k'), bench.send(1, 'k')]
      await bench.clock.advance(5_000)
      const answers = await Promise.all(both)
      assert.equal(bench.ran.length, 1)
      assert.equal(answers[0]?.outcome?.body, answers[1]?.outcome?.body)
    })

    it('lets a key be used again after work that was certainly not run', async () => {
      const bench = new Bench()
      const refused = bench.send(0, 'k', { effect: 'no' })
      await bench.clock.advance(1_000)
      assert.equal((await refused).error?.ran, Ran.NO)
      const again = bench.send(2, 'k')
      await bench.clock.advance(2_000)
      assert.equal((await again).outcome?.status, 200)
    })
  })

  describe('when the answer to the claim\'s write is lost', () => {
    it('recognises its own write and runs once', async () => {
      const bench = new Bench()
      bench.store.faults.loseAnswers = 1
      const answer = bench.send(0, 'k')
      await bench.clock.advance(5_000)
      assert.equal((await answer).outcome?.status, 200)
      assert.equal(bench.ran.length, 1)
    })
  })

  describe('when the instance dies', () => {
    it('between claim and order, never runs the key again and says that it does not know', async () => {
      const bench = new Bench()
      void bench.send(0, 'k')
      await bench.clock.advance(20)
      bench.kill(0)
      await bench.clock.advance(3_000)
      const repeat = bench.send(1, 'k')
      await bench.clock.advance(8_000)
      assert.equal((await repeat).error?.code, 'CLAIM_OUTCOME_UNKNOWN')
      assert.equal(bench.ran.length, 0)
    })

    it('after the work, never runs it twice', async () => {
      const bench = new Bench()
      void bench.send(0, 'k', { effect: 'unknown' })
      await bench.clock.advance(500)
      bench.kill(0)
      await bench.clock.advance(3_000)
      const repeat = bench.send(2, 'k')
      await bench.clock.advance(8_000)
      assert.equal((await repeat).error?.ran, Ran.UNKNOWN)
      assert.equal(bench.ran.length, 1)
    })
  })

  describe('when the object API is down for longer than the deadline', () => {
    it('says truthfully that nothing ran, and runs the key once the API is back', async () => {
      const bench = new Bench()
      bench.store.faults.down = true
      const late = bench.send(0, 'k', { deadlineMs: 1_000 })
      await bench.clock.advance(3_000)
      assert.equal((await late).error?.code, 'CLAIM_UNAVAILABLE')
      assert.equal(bench.ran.length, 0)
      bench.store.faults.down = false
      await bench.clock.advance(1_000)
      const again = bench.send(0, 'k')
      await bench.clock.advance(5_000)
      assert.equal((await again).outcome?.status, 200)
    })
  })

  describe('under any mixture of faults', () => {
    it('runs a key at most once, and what was told as not run did not run', async () => {
      const steps = fc.array(fc.tuple(step, fc.integer({ min: 0, max: 400 })), { minLength: 4, maxLength: 25 })
      await checkProperty([steps], async (list) => {
        const bench = new Bench()
        for (const [it, waitMs] of list) {
          takeStep(bench, it)
          await bench.clock.advance(waitMs)
        }
        Object.assign(bench.store.faults, { down: false, delayMs: 0, loseAnswers: 0, loseWrites: 0 })
        bench.hub.healAll()
        bench.hub.lossShare = 0
        await bench.clock.advance(20_000)
        bench.check()
      }, 150)
    })
  })
})
