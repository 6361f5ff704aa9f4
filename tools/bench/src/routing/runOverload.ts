import { RandomSource } from '@pulleystack/core.clock'
import { computeQuantile, printReport, roundTo, type Row } from '../report.js'
import { simulate, type SimulatedAnswer, type SimulatedRequest } from './simulateRouting.js'

const ENGINES = { count: 4, slots: 8, tokenMs: 10, prefillMsPerBlock: 0 }
const SECONDS = 12
const LOOKUP_SHARE = 0.2
const LOOKUP = { tokens: 4, deadlineMs: 350 }
const WORK = { tokens: 30, deadlineMs: 4_000 }
const MEAN_MS = (LOOKUP_SHARE * LOOKUP.tokens + (1 - LOOKUP_SHARE) * WORK.tokens) * ENGINES.tokenMs
const CAPACITY = ENGINES.count * ENGINES.slots / MEAN_MS * 1000
const LOADS = [0.5, 0.8, 1, 1.5, 2, 3]

/** Goodput from half to three times the capacity, against sending everything at once to a random engine. */
export async function runOverload (): Promise<void> {
  const rows: Row[] = []
  for (const direct of [true, false]) {
    for (const load of LOADS) {
      const { answers } = await simulate({ requests: buildTraffic(load), engines: ENGINES, direct })
      rows.push({ 'way': direct ? 'send at once' : 'product', 'load / capacity': load, ...describe(answers) })
    }
  }
  const own = rows.filter((row) => row['way'] === 'product').map((row) => Number(row['goodput/s']))
  printReport('overload', rows, { capacityPerSecond: roundTo(CAPACITY, 1), goodputAtThreeTimesOfPeak: roundTo((own.at(-1) ?? 0) / Math.max(...own), 3) })
}

function describe (answers: readonly SimulatedAnswer[]): Row {
  const good = answers.filter((it) => !it.error)
  const lookups = answers.filter((it) => it.request.isLookup)
  const goodLookups = lookups.filter((it) => !it.error)
  const refused = answers.filter((it) => it.error?.ran === 'no')
  // Work done, not requests: else many short answers would hide that long ones are lost.
  const tokens = good.reduce((sum, it) => sum + it.request.tokens, 0)
  return {
    'goodput/s': roundTo(good.length / SECONDS, 1),
    'good tokens/s': roundTo(tokens / SECONDS, 0),
    'lookups in time': roundTo(goodLookups.length / lookups.length, 3),
    'lookup p99 ms': roundTo(computeQuantile(goodLookups.map((it) => it.ms), 0.99), 0),
    'refused, not run': refused.length,
    'refused after ms (p50)': roundTo(computeQuantile(refused.map((it) => it.ms), 0.5), 0),
    'lost after start': answers.length - good.length - refused.length,
  }
}

function buildTraffic (load: number): SimulatedRequest[] {
  const random = new RandomSource(41)
  const gapMs = 1000 / (CAPACITY * load)
  const requests: SimulatedRequest[] = []
  for (let at = 0; at < SECONDS * 1000; at += -Math.log(1 - random.readFraction()) * gapMs) {
    const isLookup = random.readFraction() < LOOKUP_SHARE
    requests.push({ at, prompt: `request-${requests.length}`, isLookup, ...isLookup ? LOOKUP : WORK })
  }
  return requests
}
