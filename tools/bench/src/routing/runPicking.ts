import { RandomSource } from '@pulleystack/core.clock'
import { CostPicker, LeastReportedPicker, RandomPicker, RoundRobinPicker, type Picker } from '@pulleystack/routing.picker'
import { computeQuantile, printReport, roundTo, type Row } from '../report.js'
import { simulate, type SimulatedRequest } from './simulateRouting.js'

const ENGINES = { count: 8, slots: 8, tokenMs: 10, prefillMsPerBlock: 12, cacheBlocks: 60 }
const REQUESTS = 3_000
const PREFIXES = 40
const BLOCK = 256
const TOKENS = 16
const GAP_MS = 6

const PICKERS: Readonly<Record<string, (random: RandomSource) => Picker>> = {
  'random': (random) => new RandomPicker(random),
  'round robin': () => new RoundRobinPicker(),
  'least reported load': () => new LeastReportedPicker(),
  'cost (product)': (random) => new CostPicker(random),
}

/** Ways to pick on the same traffic: prompts share long beginnings, reports come every 250 ms and are 200 ms old. */
export async function runPicking (): Promise<void> {
  const requests = buildTraffic()
  const rows: Row[] = []
  for (const [name, createPicker] of Object.entries(PICKERS)) {
    const { answers, engines } = await simulate({ requests, engines: ENGINES, createPicker })
    const first = answers.flatMap((it) => it.firstMs ?? [])
    const starts = engines.engines.map((engine) => engine.batch.started.length)
    rows.push({
      'picker': name,
      'first token p50 ms': roundTo(computeQuantile(first, 0.5), 0),
      'p95 ms': roundTo(computeQuantile(first, 0.95), 0),
      'p99 ms': roundTo(computeQuantile(first, 0.99), 0),
      'cache hit share': roundTo(engines.cacheHitRatio, 3),
      'busiest / mean': roundTo(Math.max(...starts) / (starts.reduce((sum, it) => sum + it, 0) / starts.length), 2),
      'failed': answers.filter((it) => it.error).length,
    })
  }
  printReport('picking', rows, { requests: REQUESTS, prefixes: PREFIXES, engines: ENGINES })
}

/** Requests with Zipf-distributed beginnings of 2 to 9 blocks and an end of their own. */
function buildTraffic (): SimulatedRequest[] {
  const random = new RandomSource(23)
  const prefixes = Array.from({ length: PREFIXES }, (_, i) => `p${i} `.padEnd(BLOCK * (2 + i % 8), `text of ${i} `))
  let at = 0
  return Array.from({ length: REQUESTS }, (_, i) => {
    at += -Math.log(1 - random.readFraction()) * GAP_MS
    const rank = Math.min(PREFIXES - 1, Math.floor(PREFIXES ** random.readFraction()) - 1)
    return { at, prompt: `${prefixes[rank]} request-${i}`, tokens: TOKENS, deadlineMs: 60_000, isLookup: false }
  })
}
