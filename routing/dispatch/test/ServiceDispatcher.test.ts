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
import { Budgets, EligibleRunners, Places, ServiceDispatcher, type Place } from '../src/index.js'

type Fate = { ms: number, error?: PulleystackError, breaks?: boolean }

/** Plain servers whose calls meet the fates listed, one after the other. */
class FatedServices extends ServiceClient {
  readonly calls: string[] = []
  readonly aborted: string[] = []

  constructor (private readonly opts: { clock: ManualClock, fates: Fate[] }) {
    super()
  }

  async call (address: string, call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
    const fate = this.opts.fates.shift() ?? { ms: 5 }
    this.calls.push(address)
    await this.opts.clock.wait(fate.ms, signal)
    if (signal.aborted) {
      this.aborted.push(address)
      throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'aborted')
    }
    if (fate.error) throw fate.error
    const body = fate.breaks ? createBroken() : Readable.from([Buffer.from(`from ${address} for ${call.attempt}`)])
    return { status: 200, headers: { 'content-length': '20' }, body }
  }
}

function createBroken (): Readable {
  return new Readable({
    read () {
      this.destroy(new Error('broke'))
    },
  })
}

function createBench (fates: Fate[], opts: { requestsBefore?: number } = {}) {
  const clock = new ManualClock()
  const random = new RandomSource(4)
  const replica = createReplica([buildService('p', 's', { type: 'plain', class: 'lookup' }), buildService('p', 'w', { type: 'plain', class: 'work' })])
  const index = new ConfigIndex(replica)
  const { view } = createView(clock, 'a', ['a'])
  const table = new RunnerTable()
  const place = { role: InstanceRoles.PLAIN, region: 'r', dataHall: 'h', leaving: false, labels: {}, services: ['p/s', 'p/w'] }
  table.applyServers(['x', 'y', 'z'].map((id) => ({ id, address: id, ...place })), 0)
  const ring = new EventRing({ clock, instance: 'a', dataHall: 'h' })
  const eligible = new EligibleRunners({ index, replica, table, view })
  const queue = new WorkQueue<Place>({ clock, maxPerPartner: 100, getWeight: () => 1 })
  const places = new Places({ clock, random, view, index, eligible, queue, picker: new CostPicker(random), ring })
  const services = new FatedServices({ clock, fates })
  const budgets = new Budgets()
  for (let i = 0; i < (opts.requestsBefore ?? 0); i++) budgets.find('p', 's').noteRequest()
  let ids = 0
  const dispatcher = new ServiceDispatcher({ clock, random, ring, places, budgets, services, createId: () => `t${ids++}` })
  return { clock, services, table, dispatcher, budgets }
}

async function run (bench: ReturnType<typeof createBench>, change: { service?: string, repeatable?: boolean, body?: Buffer | Readable } = {}) {
  const service = change.service ?? 's'
  const started = bench.clock.readTime()
  const outcome = { status: 0, text: '', ms: 0, error: undefined as PulleystackError | undefined }
  const running = bench.dispatcher.run({
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
  }).then((answer) => {
    outcome.status = answer.status
    outcome.text = String(answer.body)
  }, (thrown: unknown) => {
    outcome.error = convertToError(thrown)
  }).finally(() => {
    outcome.ms = bench.clock.readTime() - started
  })
  await bench.clock.advance(8_000)
  await running
  return outcome
}

const LOST = new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'lost')

describe('ServiceDispatcher', () => {
  it('hedges a late lookup at another server, takes the first answer and drops the other', async () => {
    const bench = createBench([{ ms: 3_000 }, { ms: 5 }])
    const outcome = await run(bench)
    assert.equal(outcome.status, 200)
    assert.ok(outcome.ms < 400, `${outcome.ms} ms`)
    assert.equal(new Set(bench.services.calls).size, 2)
    assert.deepEqual(bench.services.aborted, [bench.services.calls[0]])
  })

  it('does not hedge when the budget is used up', async () => {
    const bench = createBench([{ ms: 3_000 }])
    while (bench.budgets.find('p', 's').take()) { /* until nothing is left */ }
    await run(bench)
    assert.equal(bench.services.calls.length, 1)
  })

  it('never hedges what may not be repeated, nor work that may wait', async () => {
    const once = createBench([{ ms: 3_000 }])
    await run(once, { repeatable: false })
    const waiting = createBench([{ ms: 3_000 }])
    await run(waiting, { service: 'w' })
    assert.deepEqual([once.services.calls.length, waiting.services.calls.length], [1, 1])
  })

  it('tries a lookup elsewhere when its answer broke off', async () => {
    const bench = createBench([{ ms: 5, breaks: true }])
    const outcome = await run(bench)
    assert.equal(outcome.status, 200)
    assert.equal(new Set(bench.services.calls).size, 2)
  })

  it('sends a body that can be read once only once', async () => {
    const bench = createBench([{ ms: 5, error: LOST }])
    const outcome = await run(bench, { body: Readable.from(['x']) })
    assert.equal(outcome.error?.ran, Ran.UNKNOWN)
    assert.equal(bench.services.calls.length, 1)
  })

  it('says that it does not know whether work ran that may not be repeated and was lost', async () => {
    const bench = createBench([{ ms: 5, error: LOST }])
    const outcome = await run(bench, { repeatable: false })
    assert.equal(outcome.error?.code, 'ATTEMPT_FAILED_UNKNOWN')
    assert.equal(bench.services.calls.length, 1)
  })

  it('sees a failing service get no more than a tenth more than its requests, and five', async () => {
    const failing = Array.from({ length: 1_000 }, (): Fate => ({ ms: 1, error: LOST }))
    const bench = createBench(failing)
    for (let i = 0; i < 200; i++) await run(bench)
    assert.ok(bench.services.calls.length <= 200 * 1.1 + 5, `${bench.services.calls.length} calls for 200 requests`)
  })

  it('gives every place back', async () => {
    const bench = createBench([{ ms: 3_000 }, { ms: 5, error: LOST }, { ms: 5 }])
    await run(bench)
    assert.deepEqual([...bench.table.listRunners()].map((runner) => runner.ownInFlight), [0, 0, 0])
  })
})
