import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { ClaimClient, type StoredOutcome } from '@pulleystack/routing.claims'
import { EventRing } from '@pulleystack/timeline.events'
import { checkProperty, createView, MortalStore } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { runOnce, type RunOnceOptions } from '../src/runOnce.js'

const NAMES = ['a', 'b', 'c']
const RUN_MS = 30

interface TestInstance extends RunOnceOptions {
  name: string
  store: MortalStore
}

interface Answer {
  request: string
  key: string
  outcome?: StoredOutcome
  error?: PulleystackError
}

/** Three instances that share one store; records what ran and what callers received. */
class TestCluster {
  readonly clock = new ManualClock()
  readonly store = new MemoryObjectStore({ clock: this.clock })
  readonly network = new FakeHub({ clock: this.clock, random: new RandomSource(5) })
  readonly instances: TestInstance[]
  readonly runs: { request: string, key: string }[] = []
  readonly answers: Answer[] = []
  private nextId = 0

  constructor () {
    this.instances = NAMES.map((name) => this.createInstance(name))
  }

  private createInstance (name: string): TestInstance {
    const { clock } = this
    const { view, identity } = createView(clock, name, NAMES)
    const store = new MortalStore(this.store)
    const network = this.network.createNode(identity)
    const claims = new ClaimClient({
      clock,
      view,
      network,
      store,
      shards: 2,
      retentionMs: 600_000,
      writesPerSecond: 40,
      createOperationId: () => `${name}-${this.nextId++}`,
    })
    return { name, store, clock, view, claims, ring: new EventRing({ clock, instance: name, dataHall: 'h' }) }
  }

  kill (i: number): void {
    const instance = this.instances[i] as TestInstance
    instance.store.dead = true
    this.network.removeNode(instance.name)
    this.clock.setTimer(1_500, () => this.instances.forEach((other) => other.view.recordSilent(instance.name)))
  }

  /** Sends a request to an instance; its work takes RUN_MS and ends as `effect` says. */
  send (i: number, key: string, opts: { body?: string, effect?: 'ok' | 'unknown' | 'no', deadlineMs?: number } = {}): Promise<Answer> {
    const instance = this.instances[i] as TestInstance
    const request = `r${this.nextId++}`
    const keyedRequest = {
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
    const run = async (): Promise<StoredOutcome> => {
      await this.clock.wait(RUN_MS)
      if (instance.store.dead) return new Promise(() => undefined)
      if (opts.effect === 'no') throw new PulleystackError('BACKEND_REFUSED', 'refused')
      this.runs.push({ request, key })
      if (opts.effect === 'unknown') throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'lost')
      return { status: 200, contentType: 't', body: `done by ${request}` }
    }
    const answer = runOnce(instance, keyedRequest, run).then(
      (outcome): Answer => ({ request, key, outcome }),
      (thrown): Answer => ({ request, key, error: convertToError(thrown) }),
    )
    return answer.then((it) => {
      if (!instance.store.dead) this.answers.push(it)
      return it
    })
  }

  /** Asserts that no key ran twice, and that no answer contradicts what ran. */
  check (): void {
    const requestsByKey = new Map<string, string[]>()
    for (const { key, request } of this.runs) requestsByKey.set(key, [...requestsByKey.get(key) ?? [], request])
    for (const [key, requests] of requestsByKey) assert.equal(requests.length, 1, `${key} ran ${requests.length} times`)
    for (const answer of this.answers) {
      const hasRun = this.runs.some((it) => it.request === answer.request)
      if (answer.error?.ran === Ran.NO) assert.equal(hasRun, false, `${answer.request} was reported as not run: ${answer.error.message}`)
      if (answer.outcome) assert.equal(answer.outcome.body, `done by ${requestsByKey.get(answer.key)?.[0]}`)
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

function applyStep (cluster: TestCluster, it: Step): void {
  if (it.do === 'send') void cluster.send(it.node, `k${it.key}`, { effect: it.effect, deadlineMs: it.deadlineMs })
  else if (it.do === 'kill') cluster.kill(it.node)
  else if (it.do === 'loseAnswers') cluster.store.faults.loseAnswers += it.count
  else if (it.do === 'loseWrites') cluster.store.faults.loseWrites += it.count
  else if (it.do === 'slow') cluster.store.faults.delayMs = it.ms
  else if (it.do === 'cut') cluster.network.cut(NAMES[it.a] as string, NAMES[it.b] as string)
  else if (it.do === 'lossy') cluster.network.lossProbability = it.share
  else if (it.do === 'down') {
    cluster.store.faults.down = true
    cluster.clock.setTimer(it.ms, () => {
      cluster.store.faults.down = false
    })
  } else {
    cluster.network.clearPartitions()
    cluster.network.lossProbability = 0
  }
}

describe('runOnce', () => {
  describe('when nothing fails', () => {
    it('returns the outcome of the first request to a repeated one', async () => {
      const cluster = new TestCluster()
      const first = cluster.send(0, 'k')
      await cluster.clock.advance(2_000)
      const second = cluster.send(1, 'k')
      await cluster.clock.advance(2_000)
      assert.equal((await second).outcome?.body, (await first).outcome?.body)
      assert.equal(cluster.runs.length, 1)
    })

    it('rejects the same key with another body', async () => {
      const cluster = new TestCluster()
      void cluster.send(0, 'k', { body: 'one' })
      await cluster.clock.advance(1_000)
      const other = cluster.send(1, 'k', { body: 'two' })
      await cluster.clock.advance(1_000)
      assert.equal((await other).error?.code, 'KEY_REUSED')
    })

    it('runs once when two instances receive the key at the same time', async () => {
      const cluster = new TestCluster()
      const both = [cluster.send(0, 'k'), cluster.send(1, 'k')]
      await cluster.clock.advance(5_000)
      const answers = await Promise.all(both)
      assert.equal(cluster.runs.length, 1)
      assert.equal(answers[0]?.outcome?.body, answers[1]?.outcome?.body)
    })

    it('allows a key to be reused after an error with `ran: no`', async () => {
      const cluster = new TestCluster()
      const rejected = cluster.send(0, 'k', { effect: 'no' })
      await cluster.clock.advance(1_000)
      assert.equal((await rejected).error?.ran, Ran.NO)
      const again = cluster.send(2, 'k')
      await cluster.clock.advance(2_000)
      assert.equal((await again).outcome?.status, 200)
    })
  })

  describe('when the response to the claim\'s write is lost', () => {
    it('recognises its own write and runs the request once', async () => {
      const cluster = new TestCluster()
      cluster.store.faults.loseAnswers = 1
      const answer = cluster.send(0, 'k')
      await cluster.clock.advance(5_000)
      assert.equal((await answer).outcome?.status, 200)
      assert.equal(cluster.runs.length, 1)
    })
  })

  describe('when the instance crashes', () => {
    it('between claim and run, never runs the key again and reports the outcome as unknown', async () => {
      const cluster = new TestCluster()
      void cluster.send(0, 'k')
      await cluster.clock.advance(20)
      cluster.kill(0)
      await cluster.clock.advance(3_000)
      const repeat = cluster.send(1, 'k')
      await cluster.clock.advance(8_000)
      assert.equal((await repeat).error?.code, 'CLAIM_OUTCOME_UNKNOWN')
      assert.equal(cluster.runs.length, 0)
    })

    it('after the work, does not run it again', async () => {
      const cluster = new TestCluster()
      void cluster.send(0, 'k', { effect: 'unknown' })
      await cluster.clock.advance(500)
      cluster.kill(0)
      await cluster.clock.advance(3_000)
      const repeat = cluster.send(2, 'k')
      await cluster.clock.advance(8_000)
      assert.equal((await repeat).error?.ran, Ran.UNKNOWN)
      assert.equal(cluster.runs.length, 1)
    })
  })

  describe('when the object API is down for longer than the deadline', () => {
    it('reports that nothing ran, and runs the key when the API is available again', async () => {
      const cluster = new TestCluster()
      cluster.store.faults.down = true
      const expired = cluster.send(0, 'k', { deadlineMs: 1_000 })
      await cluster.clock.advance(3_000)
      assert.equal((await expired).error?.code, 'CLAIM_UNAVAILABLE')
      assert.equal(cluster.runs.length, 0)
      cluster.store.faults.down = false
      await cluster.clock.advance(1_000)
      const again = cluster.send(0, 'k')
      await cluster.clock.advance(5_000)
      assert.equal((await again).outcome?.status, 200)
    })
  })

  describe('under random combinations of faults', () => {
    it('runs a key at most once, and never after it was reported as not run', async () => {
      const steps = fc.array(fc.tuple(step, fc.integer({ min: 0, max: 400 })), { minLength: 4, maxLength: 25 })
      await checkProperty([steps], async (list) => {
        const cluster = new TestCluster()
        for (const [it, waitMs] of list) {
          applyStep(cluster, it)
          await cluster.clock.advance(waitMs)
        }
        Object.assign(cluster.store.faults, { down: false, delayMs: 0, loseAnswers: 0, loseWrites: 0 })
        cluster.network.clearPartitions()
        cluster.network.lossProbability = 0
        await cluster.clock.advance(20_000)
        cluster.check()
      }, 150)
    })
  })
})
