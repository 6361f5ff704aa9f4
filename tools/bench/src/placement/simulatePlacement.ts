import { computeAttainment, type Plan, type PlanCopy, type PlanGroup, type Planner, type PlanServer } from '@pulleystack/placement.planner'

/** Demand of each item at each step, in accelerators. */
export interface DemandTrace {
  name: string
  steps: readonly ReadonlyMap<string, number>[]
  /** Accelerators that fail permanently at a step. */
  failures: readonly { step: number, servers: readonly string[] }[]
}

export interface SimulationResult {
  attainment: number
  moves: number
  /** Number of steps without a ready copy, summed over items; the settling steps don't count. */
  unservedItemSteps: number
}

const LOAD_STEPS = 1
const UNLOAD_STEPS = 1
const LOADS_PER_STEP = 8
const MOVES_PER_STEP = 8
const SETTLE_STEPS = 12
const RISE_SMOOTHING = 0.63
const FALL_SMOOTHING = 0.05

interface SimulatedCopy extends PlanCopy {
  readyAtStep: number
  removedAtStep: number
}

/** Runs a planner on a trace. Loads take a step, unloads free their bytes a step later, and the planner sees smoothed demand. */
export function simulatePlacement (planner: Planner, groups: readonly PlanGroup[], servers: readonly PlanServer[], trace: DemandTrace): SimulationResult {
  let copies: SimulatedCopy[] = []
  const estimates = new Map<string, number>()
  const result = { attainment: 0, moves: 0, unservedItemSteps: 0 }
  const first = trace.steps[0] as ReadonlyMap<string, number>
  for (let step = -SETTLE_STEPS; step < trace.steps.length; step++) {
    const demand = trace.steps[Math.max(0, step)] ?? first
    const available = listAvailableServers(servers, trace, step)
    copies = copies.filter((copy) => copy.removedAtStep > step && available.some((server) => server.id === copy.server))
    updateEstimates(estimates, demand)
    const plan = planStep(planner, groups, available, copies, estimates)
    copies = applyPlan(plan, copies, step)
    if (step < 0) continue
    const holders = listHolders(copies, step)
    result.moves += plan.steps.filter((it) => it.action === 'load').length
    result.attainment += computeAttainment(groups.map((group) => ({ ...group, load: demand.get(group.item) ?? 0 })), holders)
    result.unservedItemSteps += groups.filter((group) => !holders.has(group.item)).length
  }
  result.attainment /= trace.steps.length
  return result
}

function planStep (
  planner: Planner,
  groups: readonly PlanGroup[],
  available: readonly PlanServer[],
  copies: readonly SimulatedCopy[],
  estimates: ReadonlyMap<string, number>,
): Plan {
  const remaining = copies.filter((copy) => copy.removedAtStep === Infinity)
  const unloading = copies.filter((copy) => copy.removedAtStep < Infinity)
  const servers = available.map((server) => ({ ...server, reserved: sumBytes(groups, unloading.filter((copy) => copy.server === server.id)) }))
  return planner.plan({
    groups: groups.map((group) => ({ ...group, load: estimates.get(group.item) ?? 0 })),
    servers,
    copies: remaining,
    quotas: {},
    maxLoads: LOADS_PER_STEP,
    maxMoves: MOVES_PER_STEP,
  })
}

function applyPlan (plan: Plan, copies: SimulatedCopy[], step: number): SimulatedCopy[] {
  const next = [...copies]
  let loads = 0
  for (const it of plan.steps) {
    if (it.action === 'load' && loads++ < LOADS_PER_STEP) next.push({ item: it.item, server: it.server, ready: true, readyAtStep: step + LOAD_STEPS, removedAtStep: Infinity })
    const unloading = it.action === 'unload' ? next.find((copy) => copy.item === it.item && copy.server === it.server && copy.removedAtStep === Infinity) : undefined
    if (unloading) unloading.removedAtStep = step + UNLOAD_STEPS
  }
  return next
}

function listAvailableServers (servers: readonly PlanServer[], trace: DemandTrace, step: number): PlanServer[] {
  const failedServers = new Set(trace.failures.filter((loss) => loss.step <= step).flatMap((loss) => loss.servers))
  return servers.filter((server) => !failedServers.has(server.id))
}

function listHolders (copies: readonly SimulatedCopy[], step: number): Map<string, string[]> {
  const holders = new Map<string, string[]>()
  for (const copy of copies) {
    if (copy.readyAtStep <= step && copy.removedAtStep > step) holders.set(copy.item, [...holders.get(copy.item) ?? [], copy.server])
  }
  return holders
}

function updateEstimates (estimates: Map<string, number>, demand: ReadonlyMap<string, number>): void {
  for (const [item, load] of demand) {
    const estimate = estimates.get(item) ?? load
    estimates.set(item, estimate + (load - estimate) * (load > estimate ? RISE_SMOOTHING : FALL_SMOOTHING))
  }
}

function sumBytes (groups: readonly PlanGroup[], copies: readonly PlanCopy[]): number {
  return copies.reduce((sum, copy) => sum + (groups.find((group) => group.item === copy.item)?.bytes ?? 0), 0)
}
