import { RandomSource } from '@pulleystack/core.clock'
import { GreedyPlanner, HysteresisPlanner, StaticPlanner, type PlanGroup, type Planner, type PlanServer } from '@pulleystack/placement.planner'
import { printReport, roundTo, type Row } from '../report.js'
import { buildPool, buildTraces } from './demandTraces.js'
import { findOptimum } from './findOptimum.js'
import { simulatePlacement } from './simulatePlacement.js'

const SMALL_CASE_COUNT = 12
const STEADY_STEP_COUNT = 60

const PLANNERS: Readonly<Record<string, () => Planner>> = {
  'static even': () => new StaticPlanner(),
  'greedy': () => new GreedyPlanner(),
  'product': () => new HysteresisPlanner(),
}

/** Compares planners by attainment and moves on demand traces, and with the optimum on small cases. */
export async function runPlacement (): Promise<void> {
  const pool = buildPool()
  const rows: Row[] = []
  for (const trace of buildTraces(pool)) {
    for (const [name, create] of Object.entries(PLANNERS)) {
      const result = simulatePlacement(create(), pool.groups, pool.servers, trace)
      rows.push({
        'trace': trace.name,
        'planner': name,
        'attainment': roundTo(result.attainment, 4),
        'per accelerator': roundTo(result.attainment / pool.servers.length, 5),
        'moves': result.moves,
        'item-steps without a copy': result.unservedItemSteps,
      })
    }
  }
  printReport('placement', rows, { accelerators: pool.servers.length, models: pool.groups.length })
  compareWithOptimum()
}

/** Compares the planners with the optimum on small cases with constant demand. */
function compareWithOptimum (): void {
  const shares: Record<string, number[]> = { 'static even': [], 'greedy': [], 'product': [] }
  for (let i = 0; i < SMALL_CASE_COUNT; i++) {
    const { groups, servers } = buildSmallCase(i)
    const optimum = findOptimum(groups, servers)
    const steps = Array.from({ length: STEADY_STEP_COUNT }, () => new Map(groups.map((group) => [group.item, group.load])))
    for (const [name, create] of Object.entries(PLANNERS)) {
      const trace = { name: 'steady', steps: steps.slice(-20), failures: [] }
      shares[name]?.push(simulatePlacement(create(), groups, servers, trace).attainment / optimum)
    }
  }
  const rows = Object.entries(shares).map(([planner, values]) => ({
    planner,
    'mean share of the optimum': roundTo(values.reduce((sum, it) => sum + it, 0) / values.length, 4),
    'worst': roundTo(Math.min(...values), 4),
    'cases': values.length,
  }))
  printReport('placement-optimum', rows)
}

function buildSmallCase (seed: number): { groups: PlanGroup[], servers: PlanServer[] } {
  const random = new RandomSource(1_000 + seed)
  const servers = Array.from({ length: 4 }, (_, i): PlanServer => ({ id: `s${i}`, dataHall: `h${i % 2}`, capacity: 100, reserved: 0 }))
  const groups = Array.from({ length: 6 }, (_, i): PlanGroup => ({
    item: `p/m${i}`,
    partner: 'p',
    bytes: 20 + random.readBelow(25),
    load: 0.1 + 1.1 * random.readFraction() ** 2,
    minCopies: 1,
    maxCopies: 4,
    weight: 1 + random.readBelow(2),
    movePenalty: 1,
  }))
  return { groups, servers }
}
