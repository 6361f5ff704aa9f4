import { RandomSource } from '@pulleystack/core.clock'
import { HysteresisPlanner, type PlanCopy, type PlanGroup, type PlanInput, type PlanServer } from '@pulleystack/placement.planner'
import { printReport, roundTo, type Row } from '../report.js'

const POOL_SIZES = [33, 100, 1_000, 3_000, 12_000]
const MAX_MODELS = 810
const ACCELERATORS_PER_SHARD = 100
const REPEATS = 5
const LEASE_RENEWALS_PER_SECOND = 1 / 3

/** Measures time and memory of one plan, for the whole pool and for one shard. */
export async function runPlanScale (): Promise<void> {
  const rows: Row[] = []
  for (const accelerators of POOL_SIZES) {
    const models = Math.min(MAX_MODELS, accelerators * 3)
    const wholePool = measurePlan(accelerators, models)
    const shards = Math.max(1, Math.ceil(accelerators / ACCELERATORS_PER_SHARD))
    const oneShard = measurePlan(Math.min(accelerators, ACCELERATORS_PER_SHARD), Math.ceil(models / shards))
    rows.push({
      accelerators,
      models,
      'whole: ms a plan': roundTo(wholePool.ms, 2),
      'whole: MB': roundTo(wholePool.megabytes, 1),
      'steps': wholePool.steps,
      shards,
      'one shard: ms a plan': roundTo(oneShard.ms, 2),
      'lease writes/s, all shards': roundTo(shards * LEASE_RENEWALS_PER_SECOND / 3, 2),
    })
  }
  printReport('plan-scale', rows, { leaseSeconds: 9 })
}

export function measurePlan (accelerators: number, models: number): { ms: number, megabytes: number, steps: number } {
  const input = buildInput(accelerators, models)
  const planner = new HysteresisPlanner()
  planner.plan(input)
  globalThis.gc?.()
  const heapBefore = process.memoryUsage().heapUsed
  const started = performance.now()
  let steps = 0
  for (let i = 0; i < REPEATS; i++) steps = planner.plan(input).steps.length
  const ms = (performance.now() - started) / REPEATS
  return { ms, megabytes: Math.max(0, process.memoryUsage().heapUsed - heapBefore) / REPEATS / 1024 ** 2, steps }
}

/** Builds a fully placed pool in which a tenth of the items have three times the usual demand. */
function buildInput (accelerators: number, models: number): PlanInput {
  const random = new RandomSource(77)
  const servers = Array.from({ length: accelerators }, (_, i): PlanServer => ({ id: `s${i}`, dataHall: `h${i % 12}`, capacity: 100, reserved: 0 }))
  const groups = Array.from({ length: models }, (_, i): PlanGroup => ({
    item: `p/m${i}`,
    partner: i % 2 ? 'p' : 'q',
    bytes: 20,
    load: 0.5 * accelerators / models * (random.readFraction() < 0.1 ? 3 : 1),
    minCopies: 1,
    maxCopies: 500,
    weight: 1,
    movePenalty: 1,
  }))
  const copies: PlanCopy[] = []
  for (let i = 0; i < accelerators; i++) {
    for (let k = 0; k < Math.min(3, models); k++) copies.push({ item: `p/m${(i * 3 + k) % models}`, server: `s${i}`, ready: true })
  }
  return { groups, servers, copies, quotas: {}, maxLoads: 8, maxMoves: 1 }
}
