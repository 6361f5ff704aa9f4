import { buildModelItem } from '@pulleystack/config.objects'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { convertToError, type PulleystackError } from '@pulleystack/core.errors'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import type { Picker } from '@pulleystack/routing.picker'
import { buildModel, buildQuota, buildService, createReplica } from '@pulleystack/tools.testing'
import { RoutingNode, TimedEngines, type TimedEnginesOptions } from '@pulleystack/tools.replay'

const INSTANCE_NAMES = ['a', 'b', 'c']
const REPORT_INTERVAL_MS = 250
const REPORT_DELAY_MS = 200
const STEP_MS = 20
const ITEM = buildModelItem('p', 'm')

/** One request of a simulated load. */
export interface SimulatedRequest {
  at: number
  prompt: string
  tokens: number
  deadlineMs: number
  isLookup: boolean
}

export interface SimulatedAnswer {
  request: SimulatedRequest
  firstTokenMs?: number
  durationMs: number
  error?: PulleystackError
}

export interface SimulationOptions {
  requests: readonly SimulatedRequest[]
  engines: Omit<TimedEnginesOptions, 'clock'>
  createPicker?: (random: RandomSource) => Picker
  /** Baseline: send each request at once to a random engine, which queues it. */
  direct?: boolean
}

/** Simulates three instances and in-memory engines on a manual clock; the same load always has the same result. */
export async function simulateRouting (opts: SimulationOptions): Promise<{ answers: SimulatedAnswer[], engines: TimedEngines }> {
  const clock = new ManualClock()
  const random = new RandomSource(17)
  const engines = new TimedEngines({ ...opts.engines, clock })
  const nodes = createNodes(opts, clock, engines)
  const answers: SimulatedAnswer[] = []
  for (const request of opts.requests) {
    const node = random.pickOne(nodes)
    const address = String(random.readBelow(opts.engines.count))
    const runRequest = () => opts.direct ? runDirect(engines, address, request, clock) : runRouted(node, request, clock)
    clock.setTimer(request.at, () => void runRequest().then((it) => answers.push(it)))
  }
  scheduleReports(clock, engines, nodes)
  while (answers.length < opts.requests.length) await clock.advance(STEP_MS)
  return { answers, engines }
}

function createNodes (opts: SimulationOptions, clock: ManualClock, engines: TimedEngines): RoutingNode[] {
  const store = new MemoryObjectStore({ clock })
  const hub = new FakeHub({ clock, random: new RandomSource(3) })
  const replica = createReplica([
    buildQuota('p', { guaranteedShare: 1, mayBorrow: true }),
    buildService('p', 'lookup', { class: 'lookup' }),
    buildService('p', 'work'),
    buildModel('p', 'm', { service: 'work' }),
  ])
  let nextId = 0
  return INSTANCE_NAMES.map((name, i) => {
    const random = new RandomSource(100 + i)
    const picker = opts.createPicker?.(random)
    return new RoutingNode({ clock, random, name, instanceNames: INSTANCE_NAMES, hub, store, engines, replica, items: [ITEM], createId: () => `x${nextId++}`, picker, stallMs: 60_000 })
  })
}

function scheduleReports (clock: ManualClock, engines: TimedEngines, nodes: readonly RoutingNode[]): void {
  for (let i = 0; i < engines.engines.length; i++) {
    const report = engines.takeReport(i)
    const sendReport = (ageMs: number): void => nodes.forEach((node) => node.applyReport(engines, i, report, ageMs))
    if (clock.readTime() === 0) sendReport(0)
    else clock.setTimer(REPORT_DELAY_MS, () => sendReport(REPORT_DELAY_MS))
  }
  clock.setTimer(REPORT_INTERVAL_MS, () => scheduleReports(clock, engines, nodes))
}

async function runRouted (node: RoutingNode, request: SimulatedRequest, clock: ManualClock): Promise<SimulatedAnswer> {
  const started = clock.readTime()
  const serviceClass = request.isLookup ? 'lookup' as const : 'work' as const
  const work = {
    request: 'r',
    partner: 'p',
    service: serviceClass,
    serviceClass,
    deadline: started + request.deadlineMs,
    repeatable: true,
    signal: new AbortController().signal,
    items: [ITEM],
    prompt: request.prompt,
    maxTokens: request.tokens,
  }
  return collectAnswer(request, clock, (onToken) => node.generations.run(work, onToken))
}

async function runDirect (engines: TimedEngines, address: string, request: SimulatedRequest, clock: ManualClock): Promise<SimulatedAnswer> {
  const abortController = new AbortController()
  const cancelTimer = clock.setTimer(request.deadlineMs, () => abortController.abort())
  const attempt = `${request.at}-${request.prompt.slice(-12)}`
  const call = { attempt, item: ITEM, prompt: request.prompt, maxTokens: request.tokens, priority: request.isLookup ? 0 : 1, offset: 0 }
  const answer = await collectAnswer(request, clock, (onToken) => engines.generate(address, call, onToken, abortController.signal))
  cancelTimer()
  return answer
}

async function collectAnswer (request: SimulatedRequest, clock: ManualClock, run: (onToken: () => void) => Promise<unknown>): Promise<SimulatedAnswer> {
  const started = clock.readTime()
  let firstTokenMs: number | undefined
  const onToken = (): void => {
    firstTokenMs ??= clock.readTime() - started
  }
  try {
    await run(onToken)
    return { request, firstTokenMs, durationMs: clock.readTime() - started }
  } catch (thrown) {
    return { request, firstTokenMs, durationMs: clock.readTime() - started, error: convertToError(thrown) }
  }
}
