import { RandomSource } from '@pulleystack/core.clock'
import { HysteresisPlanner, type PlanCopy, type PlanGroup, type PlanInput, type PlanServer } from '@pulleystack/placement.planner'
import { printReport, roundTo, type Row } from '../report.js'

const SIZES = [33, 100, 1_000, 3_000, 12_000]
const MODELS = 810
const SHARD = 100
const REPEATS = 5
const LEASE_RENEWALS_PER_SECOND = 1 / 3

/** Time and memory of one plan, for the whole pool at once and for one shard of it. */
export async function runPlanScale (): Promise<void> {
  const rows: Row[] = []
  for (const accelerators of SIZES) {
    const models = Math.min(MODELS, accelerators * 3)
    const whole = measurePlan(accelerators, models)
    const shards = Math.max(1, Math.ceil(accelerators / SHARD))
    const shard = measurePlan(Math.min(accelerators, SHARD), Math.ceil(models / shards))
    rows.push({
      accelerators,
      models,
      'whole: ms a plan': roundTo(whole.ms, 2),
      'whole: MB': roundTo(whole.megabytes, 1),
      'steps': whole.steps,
      shards,
      'one shard: ms a plan': roundTo(shard.ms, 2),
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
  const before = process.memoryUsage().heapUsed
  const started = performance.now()
  let steps = 0
  for (let i = 0; i < REPEATS; i++) steps = planner.plan(input).steps.length
  const ms = (performance.now() - started) / REPEATS
  return { ms, megabytes: Math.max(0, process.memoryUsage().heapUsed - before) / REPEATS / 1024 ** 2, steps }
}

/** A pool that is placed and in which a tenth of the items have grown in demand. */
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
