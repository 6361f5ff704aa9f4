import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ConfigIndex } from '@pulleystack/config.replica'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import { EngineClient, InstanceRoles, type EngineInventory, type EngineReport, type GenerateCall, type GenerateEnd, type TokenSink } from '@pulleystack/backend.interfaces'
import { CostPicker } from '@pulleystack/routing.picker'
import { WorkQueue } from '@pulleystack/routing.queue'
import { RunnerTable } from '@pulleystack/routing.runners'
import { EventRing } from '@pulleystack/timeline.events'
import { buildModel, buildService, checkProperty, createReplica, createView } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { err, type Result } from 'neverthrow'
import { ServiceRetryBudgets, EligibleRunners, GenerationDispatcher, SlotAllocator, type Slot } from '../src/index.js'

const TOKENS = 6
const ITEM = 'p/m@base'

/** How an engine handles one connection. */
type Behavior =
  | { kind: 'good' }
  | { kind: 'unreachable' }
  | { kind: 'refused' }
  | { kind: 'breaks', after: number }
  | { kind: 'stalls', after: number }
  | { kind: 'repeats', from: number }
  | { kind: 'skips', at: number }

/** Engines whose connections follow the listed behaviors in order; records the attempts that were started and cancelled. */
class ScriptedEngines extends EngineClient {
  readonly started: string[] = []
  readonly cancelled: string[] = []

  constructor (private readonly opts: { clock: ManualClock, behaviors: Behavior[], forgetsAttempts: boolean }) {
    super()
  }

  async generate (_: string, call: GenerateCall, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd> {
    const behavior = this.opts.behaviors.shift() ?? { kind: 'good' }
    if (behavior.kind === 'unreachable') throw new PulleystackError('ATTEMPT_FAILED_NOT_RUN', 'unreachable')
    if (behavior.kind === 'refused') throw new PulleystackError('BACKEND_REFUSED', 'refused', { ran: Ran.NO })
    this.started.push(call.attempt)
    return this.stream(call.attempt, call.offset, behavior, sink, signal)
  }

  async resume (_: string, attempt: string, offset: number, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd> {
    const behavior = this.opts.behaviors.shift() ?? { kind: 'good' }
    if (this.opts.forgetsAttempts || behavior.kind === 'refused') throw new PulleystackError('BACKEND_REFUSED', 'no such attempt', { ran: Ran.NO })
    if (behavior.kind === 'unreachable') throw new PulleystackError('ATTEMPT_FAILED_NOT_RUN', 'unreachable')
    return this.stream(attempt, offset, behavior, sink, signal)
  }

  async cancel (_: string, attempt: string): Promise<void> {
    this.cancelled.push(attempt)
  }

  async readReport (): Promise<Result<EngineReport, PulleystackError>> {
    return err(new PulleystackError('INTERNAL', 'unused'))
  }

  async readInventory (): Promise<Result<EngineInventory, PulleystackError>> {
    return err(new PulleystackError('INTERNAL', 'unused'))
  }

  async sendOrder (): Promise<Result<void, PulleystackError>> {
    return err(new PulleystackError('INTERNAL', 'unused'))
  }

  private async stream (attempt: string, offset: number, behavior: Behavior, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd> {
    for (let at = offset; at < TOKENS; at++) {
      await this.opts.clock.wait(5, signal)
      if (signal.aborted || (behavior.kind === 'breaks' && at - offset >= behavior.after)) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'broke')
      if (behavior.kind === 'stalls' && at - offset >= behavior.after) await this.opts.clock.wait(60_000, signal)
      if (signal.aborted) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'aborted')
      if (behavior.kind === 'skips' && at === behavior.at) continue
      await sink({ attempt, offset: at, text: `t${at} ` })
      if (behavior.kind === 'repeats' && at === behavior.from) await sink({ attempt, offset: at, text: `t${at} ` })
    }
    return { attempt, finish: 'stop', tokens: TOKENS }
  }
}

function createFixture (behaviors: Behavior[], opts: { forgetsAttempts?: boolean } = {}) {
  const clock = new ManualClock()
  const random = new RandomSource(1)
  const replica = createReplica([buildService('p', 'drafts'), buildModel('p', 'm')])
  const index = new ConfigIndex(replica)
  const { view } = createView(clock, 'a', ['a'])
  const table = new RunnerTable()
  const servers = ['e0', 'e1', 'e2'].map((id) => ({ id, role: InstanceRoles.ENGINE, address: id, region: 'r', dataHall: 'h', leaving: false, labels: {} }))
  table.applyServers(servers, 0)
  for (const { id } of servers) {
    const items = [{ item: ITEM, bytes: 1, state: 'ready' as const }]
    table.applyUpdate({ server: id, life: '1', seq: 1, everyMs: 250, ageMs: 0, running: 0, waiting: 0, slots: 8, freeBytes: 0, items, cacheEvents: [], cacheSeq: 0 }, 0)
  }
  const ring = new EventRing({ clock, instance: 'a', dataHall: 'h' })
  const eligible = new EligibleRunners({ index, replica, table, view })
  const queue = new WorkQueue<Slot>({ clock, maxPerPartner: 100, getWeight: () => 1 })
  const slots = new SlotAllocator({ clock, random, view, index, eligible, queue, picker: new CostPicker(random), ring })
  const engines = new ScriptedEngines({ clock, behaviors, forgetsAttempts: opts.forgetsAttempts ?? false })
  const budgets = new ServiceRetryBudgets()
  for (let i = 0; i < 100; i++) budgets.find('p', 'drafts').recordRequest()
  let ids = 0
  const dispatcher = new GenerationDispatcher({ clock, random, ring, slots, budgets, engines, createId: () => `x${ids++}`, stallMs: 500 })
  return { clock, table, engines, dispatcher }
}

async function run (fixture: ReturnType<typeof createFixture>, opts: { repeatable?: boolean, deadlineMs?: number, signal?: AbortSignal } = {}) {
  const work = {
    request: 'r',
    partner: 'p',
    service: 'drafts',
    serviceClass: 'work' as const,
    deadline: fixture.clock.readTime() + (opts.deadlineMs ?? 30_000),
    repeatable: opts.repeatable ?? true,
    signal: opts.signal ?? new AbortController().signal,
    items: [ITEM],
    prompt: 'x',
    maxTokens: TOKENS,
  }
  const outcome = { text: '', ended: false, error: undefined as PulleystackError | undefined }
  const reading = (async () => {
    await fixture.dispatcher.run(work, (token) => {
      outcome.text += token.text
    })
    outcome.ended = true
  })().catch((thrown: unknown) => {
    outcome.error = convertToError(thrown)
  })
  await fixture.clock.advance(40_000)
  await reading
  return outcome
}

const FULL_TEXT = Array.from({ length: TOKENS }, (_, i) => `t${i} `).join('')

describe('GenerationDispatcher', () => {
  it('resumes a broken stream at its offset on the same engine', async () => {
    const fixture = createFixture([{ kind: 'breaks', after: 2 }])
    const outcome = await run(fixture)
    assert.equal(outcome.text, FULL_TEXT)
    assert.equal(fixture.engines.started.length, 1)
  })

  it('continues on another engine when the first no longer knows the attempt', async () => {
    const fixture = createFixture([{ kind: 'breaks', after: 3 }], { forgetsAttempts: true })
    const outcome = await run(fixture)
    assert.equal(outcome.text, FULL_TEXT)
    assert.equal(fixture.engines.started.length, 2)
  })

  it('never restarts a non-repeatable request', async () => {
    const fixture = createFixture([{ kind: 'breaks', after: 0 }], { forgetsAttempts: true })
    const outcome = await run(fixture, { repeatable: false })
    assert.equal(outcome.error?.ran, Ran.UNKNOWN)
    assert.equal(fixture.engines.started.length, 1)
  })

  it('tries another engine when the first is unreachable, even for a non-repeatable request', async () => {
    const fixture = createFixture([{ kind: 'unreachable' }, { kind: 'unreachable' }])
    assert.equal((await run(fixture, { repeatable: false })).text, FULL_TEXT)
  })

  it('aborts a stalled stream and continues on another engine', async () => {
    const fixture = createFixture([{ kind: 'stalls', after: 2 }, { kind: 'refused' }])
    const outcome = await run(fixture)
    assert.equal(outcome.text, FULL_TEXT)
  })

  it('cancels the attempt on the engine when the caller disconnects', async () => {
    const fixture = createFixture([])
    const abort = new AbortController()
    fixture.clock.setTimer(12, () => abort.abort())
    const outcome = await run(fixture, { signal: abort.signal })
    assert.equal(outcome.ended, false)
    assert.deepEqual(fixture.engines.cancelled, fixture.engines.started)
  })

  it('does not cancel a completed attempt', async () => {
    const fixture = createFixture([])
    await run(fixture)
    assert.deepEqual(fixture.engines.cancelled, [])
  })

  it('rejects with DEADLINE_UNKNOWN when the deadline passes after the request was sent', async () => {
    const fixture = createFixture([{ kind: 'stalls', after: 0 }])
    const outcome = await run(fixture, { deadlineMs: 200 })
    assert.equal(outcome.error?.code, 'DEADLINE_UNKNOWN')
  })

  it('does not accept the end of a stream with missing tokens', async () => {
    const fixture = createFixture([{ kind: 'skips', at: TOKENS - 1 }])
    assert.equal((await run(fixture)).text, FULL_TEXT)
  })

  it('releases every slot', async () => {
    const fixture = createFixture([{ kind: 'breaks', after: 1 }, { kind: 'refused' }, { kind: 'unreachable' }])
    await run(fixture)
    assert.deepEqual([...fixture.table.listRunners()].map((runner) => runner.ownInFlight), [0, 0, 0])
  })

  it('delivers the complete output or an accurate error for any connection failures', async () => {
    const behavior: fc.Arbitrary<Behavior> = fc.oneof(
      fc.constant<Behavior>({ kind: 'good' }),
      fc.constant<Behavior>({ kind: 'unreachable' }),
      fc.constant<Behavior>({ kind: 'refused' }),
      fc.record({ kind: fc.constant('breaks' as const), after: fc.nat(TOKENS) }),
      fc.record({ kind: fc.constant('stalls' as const), after: fc.nat(TOKENS) }),
      fc.record({ kind: fc.constant('repeats' as const), from: fc.nat(TOKENS) }),
      fc.record({ kind: fc.constant('skips' as const), at: fc.nat(TOKENS) }),
    )
    const behaviors = fc.array(behavior, { maxLength: 8 })
    await checkProperty([behaviors, fc.boolean(), fc.boolean(), fc.constantFrom(60, 700, 30_000)], async (list, repeatable, forgetsAttempts, deadlineMs) => {
      const fixture = createFixture([...list], { forgetsAttempts })
      const outcome = await run(fixture, { repeatable, deadlineMs })
      assert.ok(FULL_TEXT.startsWith(outcome.text), `received ${outcome.text}`)
      assert.equal(outcome.ended, outcome.text === FULL_TEXT && outcome.error === undefined)
      if (!outcome.ended) assert.ok(outcome.error, 'neither an end nor an error')
      if (!repeatable) assert.ok(fixture.engines.started.length <= 1, `started ${fixture.engines.started.length} times`)
      if (outcome.error?.ran === Ran.NO) assert.equal(fixture.engines.started.length, 0)
      if (outcome.text !== '' && outcome.error) assert.equal(outcome.error.ran, Ran.YES)
    }, 150)
  })
})
