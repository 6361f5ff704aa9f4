import { RandomSource } from '@pulleystack/core.clock'
import { computeQuantile, printReport, roundTo, type Row } from '../report.js'
import { simulateRouting, type SimulatedAnswer, type SimulatedRequest } from './simulateRouting.js'

const ENGINES = { count: 4, slots: 8, tokenMs: 10, prefillMsPerBlock: 0 }
const DURATION_SECONDS = 12
const LOOKUP_SHARE = 0.2
const LOOKUP = { tokens: 4, deadlineMs: 350 }
const WORK = { tokens: 30, deadlineMs: 4_000 }
const MEAN_SERVICE_MS = (LOOKUP_SHARE * LOOKUP.tokens + (1 - LOOKUP_SHARE) * WORK.tokens) * ENGINES.tokenMs
const CAPACITY_PER_SECOND = ENGINES.count * ENGINES.slots / MEAN_SERVICE_MS * 1000
const LOAD_FACTORS = [0.5, 0.8, 1, 1.5, 2, 3]

/** Measures goodput from half to three times the capacity, compared with sending each request at once to a random engine. */
export async function runOverload (): Promise<void> {
  const rows: Row[] = []
  for (const direct of [true, false]) {
    for (const load of LOAD_FACTORS) {
      const { answers } = await simulateRouting({ requests: buildTraffic(load), engines: ENGINES, direct })
      rows.push({ 'way': direct ? 'send at once' : 'product', 'load / capacity': load, ...buildColumns(answers) })
    }
  }
  const goodputs = rows.filter((row) => row['way'] === 'product').map((row) => Number(row['goodput/s']))
  printReport('overload', rows, { capacityPerSecond: roundTo(CAPACITY_PER_SECOND, 1), goodputAtThreeTimesOfPeak: roundTo((goodputs.at(-1) ?? 0) / Math.max(...goodputs), 3) })
}

function buildColumns (answers: readonly SimulatedAnswer[]): Row {
  const successful = answers.filter((it) => !it.error)
  const lookups = answers.filter((it) => it.request.isLookup)
  const successfulLookups = lookups.filter((it) => !it.error)
  const rejected = answers.filter((it) => it.error?.ran === 'no')
  // Counts tokens as well, because requests alone would hide the loss of long ones.
  const tokens = successful.reduce((sum, it) => sum + it.request.tokens, 0)
  return {
    'goodput/s': roundTo(successful.length / DURATION_SECONDS, 1),
    'good tokens/s': roundTo(tokens / DURATION_SECONDS, 0),
    'lookups in time': roundTo(successfulLookups.length / lookups.length, 3),
    'lookup p99 ms': roundTo(computeQuantile(successfulLookups.map((it) => it.durationMs), 0.99), 0),
    'refused, not run': rejected.length,
    'refused after ms (p50)': roundTo(computeQuantile(rejected.map((it) => it.durationMs), 0.5), 0),
    'lost after start': answers.length - successful.length - rejected.length,
  }
}

function buildTraffic (load: number): SimulatedRequest[] {
  const random = new RandomSource(41)
  const meanIntervalMs = 1000 / (CAPACITY_PER_SECOND * load)
  const requests: SimulatedRequest[] = []
  for (let at = 0; at < DURATION_SECONDS * 1000; at += -Math.log(1 - random.readFraction()) * meanIntervalMs) {
    const isLookup = random.readFraction() < LOOKUP_SHARE
    requests.push({ at, prompt: `request-${requests.length}`, isLookup, ...isLookup ? LOOKUP : WORK })
  }
  return requests
}
