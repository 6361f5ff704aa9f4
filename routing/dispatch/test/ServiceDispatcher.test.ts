import assert from 'node:assert/strict'
import { Readable } from 'node:stream'
import { describe, it } from 'node:test'
import { ConfigIndex } from '@pulleystack/config.replica'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import { InstanceRoles, ServiceClient, type ServiceAnswer, type ServiceCall } from '@pulleystack/backend.interfaces'
import { CostPicker } from '@pulleystack/routing.picker'
import { WorkQueue } from '@pulleystack/routing.queue'
import { RunnerTable } from '@pulleystack/routing.runners'
import { EventRing } from '@pulleystack/timeline.events'
import { buildService, createReplica, createView } from '@pulleystack/tools.testing'
import { ServiceRetryBudgets, EligibleRunners, SlotAllocator, ServiceDispatcher, type Slot } from '../src/index.js'

type Behavior = { ms: number, error?: PulleystackError, breaks?: boolean }

/** Plain servers whose calls follow the listed behaviors in order. */
class ScriptedServices extends ServiceClient {
  readonly calls: string[] = []
  readonly aborted: string[] = []

  constructor (private readonly opts: { clock: ManualClock, behaviors: Behavior[] }) {
    super()
  }

  async call (address: string, call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
    const behavior = this.opts.behaviors.shift() ?? { ms: 5 }
    this.calls.push(address)
    await this.opts.clock.wait(behavior.ms, signal)
    if (signal.aborted) {
      this.aborted.push(address)
      throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'aborted')
    }
    if (behavior.error) throw behavior.error
    const body = behavior.breaks ? createBrokenBody() : Readable.from([Buffer.from(`from ${address} for ${call.attempt}`)])
    return { status: 200, headers: { 'content-length': '20' }, body }
  }
}

function createBrokenBody (): Readable {
  return new Readable({
    read () {
      this.destroy(new Error('broke'))
    },
  })
}

function createFixture (behaviors: Behavior[], opts: { requestsBefore?: number } = {}) {
  const clock = new ManualClock()
  const random = new RandomSource(4)
  const replica = createReplica([buildService('p', 's', { type: 'plain', class: 'lookup' }), buildService('p', 'w', { type: 'plain', class: 'work' })])
  const index = new ConfigIndex(replica)
  const { view } = createView(clock, 'a', ['a'])
  const table = new RunnerTable()
  const shared = { role: InstanceRoles.PLAIN, region: 'r', dataHall: 'h', leaving: false, labels: {}, services: ['p/s', 'p/w'] }
  table.applyServers(['x', 'y', 'z'].map((id) => ({ id, address: id, ...shared })), 0)
  const ring = new EventRing({ clock, instance: 'a', dataHall: 'h' })
  const eligible = new EligibleRunners({ index, replica, table, view })
  const queue = new WorkQueue<Slot>({ clock, maxPerPartner: 100, getWeight: () => 1 })
  const slots = new SlotAllocator({ clock, random, view, index, eligible, queue, picker: new CostPicker(random), ring })
  const services = new ScriptedServices({ clock, behaviors })
  const budgets = new ServiceRetryBudgets()
  for (let i = 0; i < (opts.requestsBefore ?? 0); i++) budgets.find('p', 's').recordRequest()
  let ids = 0
  const dispatcher = new ServiceDispatcher({ clock, random, ring, slots, budgets, services, createId: () => `t${ids++}` })
  return { clock, services, table, dispatcher, budgets }
}

async function run (fixture: ReturnType<typeof createFixture>, change: { service?: string, repeatable?: boolean, body?: Buffer | Readable } = {}) {
  const service = change.service ?? 's'
  const started = fixture.clock.readTime()
  const outcome = { status: 0, text: '', ms: 0, error: undefined as PulleystackError | undefined }
  const running = fixture.dispatcher.run({
    request: 'r',
    partner: 'p',
    service,
    serviceClass: service === 's' ? 'lookup' : 'work',
    deadline: started + 5_000,
    repeatable: change.repeatable ?? true,
    signal: new AbortController().signal,
    method: 'GET',
    path: '/',
    headers: {},
    body: change.body,
  }).then((response) => {
    outcome.status = response.status
    outcome.text = String(response.body)
  }, (thrown: unknown) => {
    outcome.error = convertToError(thrown)
  }).finally(() => {
    outcome.ms = fixture.clock.readTime() - started
  })
  await fixture.clock.advance(8_000)
  await running
  return outcome
}

const LOST = new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'lost')

describe('ServiceDispatcher', () => {
  it('hedges a slow lookup on another server, returns the first response and aborts the other attempt', async () => {
    const fixture = createFixture([{ ms: 3_000 }, { ms: 5 }])
    const outcome = await run(fixture)
    assert.equal(outcome.status, 200)
    assert.ok(outcome.ms < 400, `${outcome.ms} ms`)
    assert.equal(new Set(fixture.services.calls).size, 2)
    assert.deepEqual(fixture.services.aborted, [fixture.services.calls[0]])
  })

  it('does not hedge when the retry budget is exhausted', async () => {
    const fixture = createFixture([{ ms: 3_000 }])
    while (fixture.budgets.find('p', 's').take()) { /* use up the budget */ }
    await run(fixture)
    assert.equal(fixture.services.calls.length, 1)
  })

  it('never hedges non-repeatable requests or requests of the work class', async () => {
    const nonRepeatable = createFixture([{ ms: 3_000 }])
    await run(nonRepeatable, { repeatable: false })
    const workClass = createFixture([{ ms: 3_000 }])
    await run(workClass, { service: 'w' })
    assert.deepEqual([nonRepeatable.services.calls.length, workClass.services.calls.length], [1, 1])
  })

  it('retries a lookup on another server after an incomplete response', async () => {
    const fixture = createFixture([{ ms: 5, breaks: true }])
    const outcome = await run(fixture)
    assert.equal(outcome.status, 200)
    assert.equal(new Set(fixture.services.calls).size, 2)
  })

  it('sends a streamed body only once', async () => {
    const fixture = createFixture([{ ms: 5, error: LOST }])
    const outcome = await run(fixture, { body: Readable.from(['x']) })
    assert.equal(outcome.error?.ran, Ran.UNKNOWN)
    assert.equal(fixture.services.calls.length, 1)
  })

  it('rejects with ATTEMPT_FAILED_UNKNOWN when the outcome of a non-repeatable request is unknown', async () => {
    const fixture = createFixture([{ ms: 5, error: LOST }])
    const outcome = await run(fixture, { repeatable: false })
    assert.equal(outcome.error?.code, 'ATTEMPT_FAILED_UNKNOWN')
    assert.equal(fixture.services.calls.length, 1)
  })

  it('sends a failing service at most 10% more calls than requests, plus five', async () => {
    const failing = Array.from({ length: 1_000 }, (): Behavior => ({ ms: 1, error: LOST }))
    const fixture = createFixture(failing)
    for (let i = 0; i < 200; i++) await run(fixture)
    assert.ok(fixture.services.calls.length <= 200 * 1.1 + 5, `${fixture.services.calls.length} calls for 200 requests`)
  })

  it('releases every slot', async () => {
    const fixture = createFixture([{ ms: 3_000 }, { ms: 5, error: LOST }, { ms: 5 }])
    await run(fixture)
    assert.deepEqual([...fixture.table.listRunners()].map((runner) => runner.ownInFlight), [0, 0, 0])
  })
})
