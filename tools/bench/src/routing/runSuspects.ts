import { ExclusiveRunRule, RequestCountRule, TraitCountRule, WholeRequestRule, type SuspectRule } from '@pulleystack/routing.quarantine'
import { QuarantineSimulation, type Scenario, type ScenarioOutcome } from '../../../../routing/quarantine/test/QuarantineSimulation.js'
import { printReport, type Row } from '../report.js'

const SEEDS = [1, 2, 3, 4, 5, 6]

/** Rules that decide on requests during which servers crashed. */
const RULES: Readonly<Record<string, SuspectRule>> = {
  'no quarantine': new RequestCountRule(Infinity),
  'whole requests, two crashes': new RequestCountRule(2),
  'whole requests, exclusive run': new WholeRequestRule(new ExclusiveRunRule()),
  'traits, three servers': new TraitCountRule(3),
  'traits, five servers': new TraitCountRule(5),
  'traits, exclusive run': new ExclusiveRunRule(),
}

const STREAMS = { instances: 8, servers: 8, lastsMs: 20_000, rate: 40, runMs: 2_000, sameShare: 0 }
const PARTS = { ...STREAMS, isPoisonPart: true }
const LOOKUPS = { ...STREAMS, runMs: 30, rate: 80 }

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'streams, one poison request every 0.5 s': { ...STREAMS, lethalEveryMs: 500 },
  'streams on two servers, one poison request every 0.5 s': { ...STREAMS, servers: 2, rate: 10, lethalEveryMs: 500 },
  'lookups, six poison requests at once every second': { ...LOOKUPS, lethalEveryMs: 1_000, atOnce: 6 },
  'lookups, all instances restarted every 5 s': { ...LOOKUPS, lethalEveryMs: 500, restartEveryMs: 5_000 },
  'streams, one request with a poison part every 0.25 s': { ...PARTS, lethalEveryMs: 250 },
  'streams, twelve requests with a poison part at once every second': { ...PARTS, lethalEveryMs: 1_000, atOnce: 12 },
  'streams on two servers, one request with a poison part every 0.5 s': { ...PARTS, servers: 2, rate: 10, lethalEveryMs: 500 },
  'streams with parts, an unrelated server crash every 0.5 s': { ...PARTS, endsEveryMs: 500 },
  'streams with parts, four of eight servers crash together every 5 s': { ...PARTS, endsEveryMs: 5_000, endsTogether: 4 },
  'streams, an unrelated server crash every 0.5 s': { ...STREAMS, sameShare: 0.5, endsEveryMs: 500 },
  'streams, four of eight servers crash together every 5 s': { ...STREAMS, sameShare: 0.5, endsEveryMs: 5_000, endsTogether: 4 },
  'lookups, four of eight servers crash together every 5 s': { ...LOOKUPS, sameShare: 0.5, endsEveryMs: 5_000, endsTogether: 4 },
}

/** Compares quarantine rules for poison requests by server crashes and by the cost to other requests, summed over all seeds. */
export async function runSuspects (): Promise<void> {
  for (const [name, scenario] of Object.entries(SCENARIOS)) {
    const rows: Row[] = []
    for (const [ruleName, rule] of Object.entries(RULES)) rows.push({ way: ruleName, ...await sumOutcomes(scenario, rule) })
    console.log(name)
    printReport('suspects', rows, { scenario, seeds: SEEDS.length })
  }
}

async function sumOutcomes (scenario: Scenario, rule: SuspectRule): Promise<Row> {
  const total: ScenarioOutcome = { endedByLethal: 0, laterArrivals: 0, innocent: 0, refusedWrongly: 0, lost: 0 }
  for (const seed of SEEDS) {
    const outcome = await new QuarantineSimulation(scenario, rule, seed).play()
    for (const key of Object.keys(total) as (keyof ScenarioOutcome)[]) total[key] += outcome[key]
  }
  return { ...total }
}
