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
import { Budgets, EligibleRunners, GenerationDispatcher, Places, type Place } from '../src/index.js'

const TOKENS = 6
const ITEM = 'p/m@base'

/** What becomes of one connection to an engine. */
type Fate =
  | { kind: 'good' }
  | { kind: 'unreachable' }
  | { kind: 'refused' }
  | { kind: 'breaks', after: number }
  | { kind: 'stalls', after: number }
  | { kind: 'repeats', from: number }
  | { kind: 'skips', at: number }

/** Engines whose connections meet the fates listed, one after the other; attempts that began are counted. */
class FatedEngines extends EngineClient {
  readonly began: string[] = []
  readonly cancelled: string[] = []

  constructor (private readonly opts: { clock: ManualClock, fates: Fate[], forgetful: boolean }) {
    super()
  }

  async generate (_: string, call: GenerateCall, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd> {
    const fate = this.opts.fates.shift() ?? { kind: 'good' }
    if (fate.kind === 'unreachable') throw new PulleystackError('ATTEMPT_FAILED_NOT_RUN', 'unreachable')
    if (fate.kind === 'refused') throw new PulleystackError('BACKEND_REFUSED', 'refused', { ran: Ran.NO })
    this.began.push(call.attempt)
    return this.stream(call.attempt, call.offset, fate, sink, signal)
  }

  async resume (_: string, attempt: string, offset: number, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd> {
    const fate = this.opts.fates.shift() ?? { kind: 'good' }
    if (this.opts.forgetful || fate.kind === 'refused') throw new PulleystackError('BACKEND_REFUSED', 'no such attempt', { ran: Ran.NO })
    if (fate.kind === 'unreachable') throw new PulleystackError('ATTEMPT_FAILED_NOT_RUN', 'unreachable')
    return this.stream(attempt, offset, fate, sink, signal)
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

  private async stream (attempt: string, offset: number, fate: Fate, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd> {
    for (let at = offset; at < TOKENS; at++) {
      await this.opts.clock.wait(5, signal)
      if (signal.aborted || (fate.kind === 'breaks' && at - offset >= fate.after)) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'broke')
      if (fate.kind === 'stalls' && at - offset >= fate.after) await this.opts.clock.wait(60_000, signal)
      if (signal.aborted) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'aborted')
      if (fate.kind === 'skips' && at === fate.at) continue
      await sink({ attempt, offset: at, text: `t${at} ` })
      if (fate.kind === 'repeats' && at === fate.from) await sink({ attempt, offset: at, text: `t${at} ` })
    }
    return { attempt, finish: 'stop', tokens: TOKENS }
  }
}

function createBench (fates: Fate[], opts: { forgetful?: boolean } = {}) {
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
  const queue = new WorkQueue<Place>({ clock, maxPerPartner: 100, getWeight: () => 1 })
  const places = new Places({ clock, random, view, index, eligible, queue, picker: new CostPicker(random), ring })
  const engines = new FatedEngines({ clock, fates, forgetful: opts.forgetful ?? false })
  const budgets = new Budgets()
  for (let i = 0; i < 100; i++) budgets.find('p', 'drafts').noteRequest()
  let ids = 0
  const dispatcher = new GenerationDispatcher({ clock, random, ring, places, budgets, engines, createId: () => `x${ids++}`, stallMs: 500 })
  return { clock, table, engines, dispatcher }
}

async function run (bench: ReturnType<typeof createBench>, opts: { repeatable?: boolean, deadlineMs?: number, signal?: AbortSignal } = {}) {
  const work = {
    request: 'r',
    partner: 'p',
    service: 'drafts',
    serviceClass: 'work' as const,
    deadline: bench.clock.readTime() + (opts.deadlineMs ?? 30_000),
    repeatable: opts.repeatable ?? true,
    signal: opts.signal ?? new AbortController().signal,
    items: [ITEM],
    prompt: 'x',
    maxTokens: TOKENS,
  }
  const outcome = { text: '', ended: false, error: undefined as PulleystackError | undefined }
  const reading = (async () => {
    await bench.dispatcher.run(work, (token) => {
      outcome.text += token.text
    })
    outcome.ended = true
  })().catch((thrown: unknown) => {
    outcome.error = convertToError(thrown)
  })
  await bench.clock.advance(40_000)
  await reading
  return outcome
}

const WHOLE = Array.from({ length: TOKENS }, (_, i) => `t${i} `).join('')

describe('GenerationDispatcher', () => {
  it('resumes a broken stream at its offset on the same engine', async () => {
    const bench = createBench([{ kind: 'breaks', after: 2 }])
    const outcome = await run(bench)
    assert.equal(outcome.text, WHOLE)
    assert.equal(bench.engines.began.length, 1)
  })

  it('goes on elsewhere when the engine has forgotten the attempt', async () => {
    const bench = createBench([{ kind: 'breaks', after: 3 }], { forgetful: true })
    const outcome = await run(bench)
    assert.equal(outcome.text, WHOLE)
    assert.equal(bench.engines.began.length, 2)
  })

  it('never starts work again that may not be repeated', async () => {
    const bench = createBench([{ kind: 'breaks', after: 0 }], { forgetful: true })
    const outcome = await run(bench, { repeatable: false })
    assert.equal(outcome.error?.ran, Ran.UNKNOWN)
    assert.equal(bench.engines.began.length, 1)
  })

  it('goes to another engine when the first could not be reached, even with work that may not be repeated', async () => {
    const bench = createBench([{ kind: 'unreachable' }, { kind: 'unreachable' }])
    assert.equal((await run(bench, { repeatable: false })).text, WHOLE)
  })

  it('gives up on a frozen engine and goes on elsewhere', async () => {
    const bench = createBench([{ kind: 'stalls', after: 2 }, { kind: 'refused' }])
    const outcome = await run(bench)
    assert.equal(outcome.text, WHOLE)
  })

  it('cancels the engine\'s work when the caller goes away', async () => {
    const bench = createBench([])
    const abort = new AbortController()
    bench.clock.setTimer(12, () => abort.abort())
    const outcome = await run(bench, { signal: abort.signal })
    assert.equal(outcome.ended, false)
    assert.deepEqual(bench.engines.cancelled, bench.engines.began)
  })

  it('does not cancel an answer that came to its end', async () => {
    const bench = createBench([])
    await run(bench)
    assert.deepEqual(bench.engines.cancelled, [])
  })

  it('says at the deadline that work was sent', async () => {
    const bench = createBench([{ kind: 'stalls', after: 0 }])
    const outcome = await run(bench, { deadlineMs: 200 })
    assert.equal(outcome.error?.code, 'DEADLINE_UNKNOWN')
  })

  it('does not take an end for the answer\'s when tokens are missing before it', async () => {
    const bench = createBench([{ kind: 'skips', at: TOKENS - 1 }])
    assert.equal((await run(bench)).text, WHOLE)
  })

  it('gives every place back', async () => {
    const bench = createBench([{ kind: 'breaks', after: 1 }, { kind: 'refused' }, { kind: 'unreachable' }])
    await run(bench)
    assert.deepEqual([...bench.table.listRunners()].map((runner) => runner.ownInFlight), [0, 0, 0])
  })

  it('gives the whole answer or a truthful error, whatever happens to connections', async () => {
    const fate: fc.Arbitrary<Fate> = fc.oneof(
      fc.constant<Fate>({ kind: 'good' }),
      fc.constant<Fate>({ kind: 'unreachable' }),
      fc.constant<Fate>({ kind: 'refused' }),
      fc.record({ kind: fc.constant('breaks' as const), after: fc.nat(TOKENS) }),
      fc.record({ kind: fc.constant('stalls' as const), after: fc.nat(TOKENS) }),
      fc.record({ kind: fc.constant('repeats' as const), from: fc.nat(TOKENS) }),
      fc.record({ kind: fc.constant('skips' as const), at: fc.nat(TOKENS) }),
    )
    const fates = fc.array(fate, { maxLength: 8 })
    await checkProperty([fates, fc.boolean(), fc.boolean(), fc.constantFrom(60, 700, 30_000)], async (list, repeatable, forgetful, deadlineMs) => {
      const bench = createBench([...list], { forgetful })
      const outcome = await run(bench, { repeatable, deadlineMs })
      assert.ok(WHOLE.startsWith(outcome.text), `received ${outcome.text}`)
      assert.equal(outcome.ended, outcome.text === WHOLE && outcome.error === undefined)
      if (!outcome.ended) assert.ok(outcome.error, 'neither an end nor an error')
      if (!repeatable) assert.ok(bench.engines.began.length <= 1, `began ${bench.engines.began.length} times`)
      if (outcome.error?.ran === Ran.NO) assert.equal(bench.engines.began.length, 0)
      if (outcome.text !== '' && outcome.error) assert.equal(outcome.error.ran, Ran.YES)
    }, 150)
  })
})
