import { CrashCountRule, ExclusiveRunRule, UnclearedCrashCountRule, type SuspectRule } from '@pulleystack/routing.quarantine'
import { QuarantineSimulation, type Scenario, type ScenarioOutcome } from '../../../../routing/quarantine/test/QuarantineSimulation.js'
import { printReport, type Row } from '../report.js'

const SEEDS = [1, 2, 3, 4, 5, 6]

/** Ways to decide about requests under which servers ended. */
const RULES: Readonly<Record<string, SuspectRule>> = {
  'nothing is remembered': new CrashCountRule(Infinity),
  'two ends counted': new CrashCountRule(2),
  'three ends counted': new CrashCountRule(3),
  'three ends, none good between': new UnclearedCrashCountRule(3),
  'lone run': new ExclusiveRunRule(),
}

const STREAMS = { instances: 8, servers: 8, lastsMs: 20_000, rate: 40, runMs: 2_000, sameShare: 0 }
const LOOKUPS = { ...STREAMS, runMs: 30, rate: 80 }

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'streams, one lethal request every 0.5 s': { ...STREAMS, lethalEveryMs: 500 },
  'streams at two servers, every 0.5 s': { ...STREAMS, servers: 2, rate: 10, lethalEveryMs: 500 },
  'lookups, six at once every second': { ...LOOKUPS, lethalEveryMs: 1_000, atOnce: 6 },
  'lookups, all instances anew every 5 s': { ...LOOKUPS, lethalEveryMs: 500, restartEveryMs: 5_000 },
  'streams, a server ends by itself every 0.5 s': { ...STREAMS, sameShare: 0.5, endsEveryMs: 500 },
  'streams, four of eight end together every 5 s': { ...STREAMS, sameShare: 0.5, endsEveryMs: 5_000, endsTogether: 4 },
  'lookups, four of eight end together every 5 s': { ...LOOKUPS, sameShare: 0.5, endsEveryMs: 5_000, endsTogether: 4 },
}

/** Compares ways to keep requests from servers that they would end, by what they cost servers and others: sums over all seeds. */
export async function runSuspects (): Promise<void> {
  for (const [name, scenario] of Object.entries(SCENARIOS)) {
    const rows: Row[] = []
    for (const [way, rule] of Object.entries(RULES)) rows.push({ way, ...await sumOutcomes(scenario, rule) })
    console.log(name)
    printReport('suspects', rows, { scenario, seeds: SEEDS.length })
  }
}

async function sumOutcomes (scenario: Scenario, rule: SuspectRule): Promise<Row> {
  const sum: ScenarioOutcome = { endedByLethal: 0, laterArrivals: 0, innocent: 0, refusedWrongly: 0, lost: 0 }
  for (const seed of SEEDS) {
    const outcome = await new QuarantineSimulation(scenario, rule, seed).play()
    for (const key of Object.keys(sum) as (keyof ScenarioOutcome)[]) sum[key] += outcome[key]
  }
  return { ...sum }
}
