import { buildModelItem } from '@pulleystack/config.objects'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { convertToError, type PulleystackError } from '@pulleystack/core.errors'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import type { Picker } from '@pulleystack/routing.picker'
import { buildModel, buildQuota, buildService, createReplica } from '@pulleystack/tools.testing'
import { RoutingNode, TimedEngines, type TimedEnginesOptions } from '@pulleystack/tools.replay'

const NODES = ['a', 'b', 'c']
const REPORT_MS = 250
const LAG_MS = 200
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
  firstMs?: number
  ms: number
  error?: PulleystackError
}

export interface SimulationOptions {
  requests: readonly SimulatedRequest[]
  engines: Omit<TimedEnginesOptions, 'clock'>
  createPicker?: (random: RandomSource) => Picker
  /** Baseline: send at once and let the engines' own queues sort it out. */
  direct?: boolean
}

/** Three instances before engines in memory, on an injected clock: the same load always takes the same course. */
export async function simulate (opts: SimulationOptions): Promise<{ answers: SimulatedAnswer[], engines: TimedEngines }> {
  const clock = new ManualClock()
  const random = new RandomSource(17)
  const engines = new TimedEngines({ ...opts.engines, clock })
  const nodes = createNodes(opts, clock, engines)
  const answers: SimulatedAnswer[] = []
  for (const request of opts.requests) {
    const node = random.pickOne(nodes)
    const address = String(random.readBelow(opts.engines.count))
    const run = () => opts.direct ? runDirect(engines, address, request, clock) : runRouted(node, request, clock)
    clock.setTimer(request.at, () => void run().then((it) => answers.push(it)))
  }
  keepReporting(clock, engines, nodes)
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
  let ids = 0
  return NODES.map((name, i) => {
    const random = new RandomSource(100 + i)
    const picker = opts.createPicker?.(random)
    return new RoutingNode({ clock, random, name, instanceNames: NODES, hub, store, engines, replica, items: [ITEM], createId: () => `x${ids++}`, picker, stallMs: 60_000 })
  })
}

function keepReporting (clock: ManualClock, engines: TimedEngines, nodes: readonly RoutingNode[]): void {
  for (let i = 0; i < engines.engines.length; i++) {
    const report = engines.takeReport(i)
    const passOn = (ageMs: number): void => nodes.forEach((node) => node.applyReport(engines, i, report, ageMs))
    if (clock.readTime() === 0) passOn(0)
    else clock.setTimer(LAG_MS, () => passOn(LAG_MS))
  }
  clock.setTimer(REPORT_MS, () => keepReporting(clock, engines, nodes))
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
  return collect(request, clock, (onToken) => node.generations.run(work, onToken))
}

async function runDirect (engines: TimedEngines, address: string, request: SimulatedRequest, clock: ManualClock): Promise<SimulatedAnswer> {
  const abort = new AbortController()
  const cancel = clock.setTimer(request.deadlineMs, () => abort.abort())
  const attempt = `${request.at}-${request.prompt.slice(-12)}`
  const call = { attempt, item: ITEM, prompt: request.prompt, maxTokens: request.tokens, priority: request.isLookup ? 0 : 1, offset: 0 }
  const answer = await collect(request, clock, (onToken) => engines.generate(address, call, onToken, abort.signal))
  cancel()
  return answer
}

async function collect (request: SimulatedRequest, clock: ManualClock, run: (onToken: () => void) => Promise<unknown>): Promise<SimulatedAnswer> {
  const started = clock.readTime()
  let firstMs: number | undefined
  const onToken = (): void => {
    firstMs ??= clock.readTime() - started
  }
  try {
    await run(onToken)
    return { request, firstMs, ms: clock.readTime() - started }
  } catch (thrown) {
    return { request, firstMs, ms: clock.readTime() - started, error: convertToError(thrown) }
  }
}
