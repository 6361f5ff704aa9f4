import { RandomSource } from '@pulleystack/core.clock'
import { CostPicker, LeastLoadPicker, RandomPicker, RoundRobinPicker, type Picker } from '@pulleystack/routing.picker'
import { computeQuantile, printReport, roundTo, type Row } from '../report.js'
import { simulateRouting, type SimulatedRequest } from './simulateRouting.js'

const ENGINES = { count: 8, slots: 8, tokenMs: 10, prefillMsPerBlock: 12, cacheBlocks: 60 }
const REQUEST_COUNT = 3_000
const PREFIX_COUNT = 40
const BLOCK_CHARACTERS = 256
const TOKENS_PER_REQUEST = 16
const MEAN_INTERVAL_MS = 6

const PICKERS: Readonly<Record<string, (random: RandomSource) => Picker>> = {
  'random': (random) => new RandomPicker(random),
  'round robin': () => new RoundRobinPicker(),
  'least reported load': () => new LeastLoadPicker(),
  'cost (product)': (random) => new CostPicker(random),
}

/** Compares pickers on the same traffic, with prompts that share long prefixes and delayed engine reports. */
export async function runPicking (): Promise<void> {
  const requests = buildTraffic()
  const rows: Row[] = []
  for (const [name, createPicker] of Object.entries(PICKERS)) {
    const { answers, engines } = await simulateRouting({ requests, engines: ENGINES, createPicker })
    const firstTokenMs = answers.flatMap((it) => it.firstTokenMs ?? [])
    const startCounts = engines.engines.map((engine) => engine.batch.startedAttempts.length)
    rows.push({
      'picker': name,
      'first token p50 ms': roundTo(computeQuantile(firstTokenMs, 0.5), 0),
      'p95 ms': roundTo(computeQuantile(firstTokenMs, 0.95), 0),
      'p99 ms': roundTo(computeQuantile(firstTokenMs, 0.99), 0),
      'cache hit share': roundTo(engines.cacheHitRatio, 3),
      'busiest / mean': roundTo(Math.max(...startCounts) / (startCounts.reduce((sum, it) => sum + it, 0) / startCounts.length), 2),
      'failed': answers.filter((it) => it.error).length,
    })
  }
  printReport('picking', rows, { requests: REQUEST_COUNT, prefixes: PREFIX_COUNT, engines: ENGINES })
}

/** Builds requests with Zipf-distributed prefixes of 2 to 9 blocks and a unique end. */
function buildTraffic (): SimulatedRequest[] {
  const random = new RandomSource(23)
  const prefixes = Array.from({ length: PREFIX_COUNT }, (_, i) => `p${i} `.padEnd(BLOCK_CHARACTERS * (2 + i % 8), `text of ${i} `))
  let at = 0
  return Array.from({ length: REQUEST_COUNT }, (_, i) => {
    at += -Math.log(1 - random.readFraction()) * MEAN_INTERVAL_MS
    const rank = Math.min(PREFIX_COUNT - 1, Math.floor(PREFIX_COUNT ** random.readFraction()) - 1)
    return { at, prompt: `${prefixes[rank]} request-${i}`, tokens: TOKENS_PER_REQUEST, deadlineMs: 60_000, isLookup: false }
  })
}
