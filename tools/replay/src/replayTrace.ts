import { createHash } from 'node:crypto'
import { buildModelItem } from '@pulleystack/config.objects'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { convertToError, type PulleystackError } from '@pulleystack/core.errors'
import { runOnce } from '@pulleystack/gateway.callers'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { buildModel, buildQuota, buildService, createReplica } from '@pulleystack/tools.testing'
import { RoutingNode } from './RoutingNode.js'
import { TimedEngines } from './TimedEngines.js'
import type { Trace, TraceFault, TraceRequest } from './Trace.js'

const INSTANCE_NAMES = ['a', 'b', 'c']
const REPORT_INTERVAL_MS = 100
const REPORT_DELAY_MS = 150
const STEP_MS = 25
const MAX_WAIT_AFTER_LAST_MS = 90_000
const SEED = 31

/** The answer or error of one request. */
export interface ReplayedAnswer {
  request: TraceRequest
  durationMs: number
  text?: string
  error?: PulleystackError
}

export interface ReplayResult {
  answers: ReplayedAnswer[]
  /** Number of starts by request name. */
  startCounts: Map<string, number>
  requestCount: number
}

const ENGINE_STATES = { killEngine: 'dead', freezeEngine: 'frozen', reviveEngine: 'live' } as const

interface Replay {
  clock: ManualClock
  store: MemoryObjectStore
  engines: TimedEngines
  nodes: RoutingNode[]
  answers: ReplayedAnswer[]
  random: RandomSource
  nextId: number
}

/** Replays a trace until every request is answered and every fault applied, or the wait after the last request expires. */
export async function replayTrace (trace: Trace): Promise<ReplayResult> {
  const replay = createReplay(trace)
  for (const request of trace.requests) replay.clock.setTimer(request.at, () => void runRequest(replay, request))
  for (const fault of trace.faults) replay.clock.setTimer(fault.at, () => applyFault(replay, fault))
  scheduleReports(replay, trace)
  const lastRequestAt = Math.max(...trace.requests.map((request) => request.at))
  for (let at = 0; at < lastRequestAt + MAX_WAIT_AFTER_LAST_MS && !isFinished(replay, trace, at); at += STEP_MS) await replay.clock.advance(STEP_MS)
  return { answers: replay.answers, startCounts: replay.engines.startCounts, requestCount: trace.requests.length }
}

function isFinished (replay: Replay, trace: Trace, at: number): boolean {
  return replay.answers.length === trace.requests.length && trace.faults.every((fault) => fault.at < at)
}

function createReplay (trace: Trace): Replay {
  const clock = new ManualClock()
  const random = new RandomSource(SEED)
  const store = new MemoryObjectStore({ clock })
  const engines = new TimedEngines({ clock, count: trace.engines, slots: trace.slots, tokenMs: trace.tokenMs })
  const hub = new FakeHub({ clock, random })
  const partners = [...new Set(trace.requests.map((request) => request.partner))]
  const replica = createReplica(partners.flatMap((partner) => [
    buildQuota(partner, { guaranteedShare: 1 / partners.length * 0.9, mayBorrow: true }),
    buildService(partner, 'lookup', { class: 'lookup' }),
    buildService(partner, 'work', { class: 'work' }),
    buildModel(partner, 'm', { service: 'work' }),
  ]))
  const replay: Replay = { clock, store, engines, nodes: [], answers: [], random, nextId: 0 }
  const items = partners.map((partner) => buildModelItem(partner, 'm'))
  replay.nodes = INSTANCE_NAMES.map((name) => new RoutingNode({
    clock,
    random,
    name,
    instanceNames: INSTANCE_NAMES,
    hub,
    store,
    engines,
    replica,
    items,
    createId: () => `x${replay.nextId++}`,
  }))
  return replay
}

/** Sends every engine's reports to every instance, with a delay. */
function scheduleReports (replay: Replay, trace: Trace): void {
  for (let i = 0; i < trace.engines; i++) {
    const report = replay.engines.takeReport(i)
    const sendReport = (ageMs: number): void => replay.nodes.forEach((node) => node.applyReport(replay.engines, i, report, ageMs))
    if (replay.clock.readTime() === 0) sendReport(0)
    else replay.clock.setTimer(REPORT_DELAY_MS, () => sendReport(REPORT_DELAY_MS))
  }
  replay.clock.setTimer(REPORT_INTERVAL_MS, () => scheduleReports(replay, trace))
}

function applyFault (replay: Replay, fault: TraceFault): void {
  if (fault.do === 'slowStore') replay.store.faults.delayMs = fault.ms
  else if (fault.do === 'loseStoreAnswers') replay.store.faults.loseAnswers += fault.count
  else if (fault.do === 'loseStoreWrites') replay.store.faults.loseWrites += fault.count
  else if ('engine' in fault) replay.engines.setState(fault.engine, ENGINE_STATES[fault.do])
}

async function runRequest (replay: Replay, request: TraceRequest): Promise<void> {
  const started = replay.clock.readTime()
  const node = replay.nodes[request.instance ?? replay.random.readBelow(replay.nodes.length)] as RoutingNode
  try {
    const text = request.key === undefined ? await generate(replay, node, request, true) : await generateOnce(replay, node, request, request.key)
    replay.answers.push({ request, durationMs: replay.clock.readTime() - started, text })
  } catch (thrown) {
    replay.answers.push({ request, durationMs: replay.clock.readTime() - started, error: convertToError(thrown) })
  }
}

async function generate (replay: Replay, node: RoutingNode, request: TraceRequest, repeatable: boolean): Promise<string> {
  let text = ''
  const work = {
    request: `r${replay.nextId++}`,
    partner: request.partner,
    service: request.class,
    serviceClass: request.class,
    deadline: replay.clock.readTime() + request.deadlineMs,
    repeatable,
    signal: new AbortController().signal,
    items: [buildModelItem(request.partner, 'm')],
    prompt: request.name,
    maxTokens: request.tokens,
  }
  await node.generations.run(work, (token) => {
    text += token.text
  })
  return text
}

async function generateOnce (replay: Replay, node: RoutingNode, request: TraceRequest, key: string): Promise<string> {
  const onceRequest = {
    request: `r${replay.nextId++}`,
    partner: request.partner,
    caller: 'c',
    key,
    method: 'POST',
    path: '/',
    signal: new AbortController().signal,
    body: createHash('sha256').update(request.name).digest(),
    deadline: replay.clock.readTime() + request.deadlineMs,
  }
  const outcome = await runOnce(node, onceRequest, async () => ({ status: 200, contentType: 'text/plain', body: await generate(replay, node, request, false) }))
  return outcome.body ?? ''
}
