import { computeAttainment, type Plan, type PlanCopy, type PlanGroup, type Planner, type PlanServer } from '@pulleystack/placement.planner'

/** Demand of each item at each step, as a share of an accelerator. */
export interface DemandTrace {
  name: string
  steps: readonly ReadonlyMap<string, number>[]
  /** Accelerators that are gone from a step on. */
  losses: readonly { step: number, servers: readonly string[] }[]
}

export interface SimulationResult {
  attainment: number
  moves: number
  /** Steps in which some item had no ready copy, summed over items, after the first placement. */
  unreachable: number
}

const LOAD_STEPS = 1
const UNLOAD_STEPS = 1
const LOADS_PER_STEP = 8
const MOVES_PER_STEP = 8
const SETTLE_STEPS = 12
const RISE = 0.63
const FALL = 0.05

interface MovingCopy extends PlanCopy {
  readyAt: number
  goneAt: number
}

/** Lets a planner follow a trace: loads take a step, unloads free their bytes a step later, demand is estimated. */
export function simulatePlacement (planner: Planner, groups: readonly PlanGroup[], servers: readonly PlanServer[], trace: DemandTrace): SimulationResult {
  let copies: MovingCopy[] = []
  const estimates = new Map<string, number>()
  const result = { attainment: 0, moves: 0, unreachable: 0 }
  const first = trace.steps[0] as ReadonlyMap<string, number>
  for (let step = -SETTLE_STEPS; step < trace.steps.length; step++) {
    const demand = trace.steps[Math.max(0, step)] ?? first
    const alive = listAlive(servers, trace, step)
    copies = copies.filter((copy) => copy.goneAt > step && alive.some((server) => server.id === copy.server))
    updateEstimates(estimates, demand)
    const plan = planStep(planner, groups, alive, copies, estimates)
    copies = applyPlan(plan, copies, step)
    if (step < 0) continue
    const holders = listHolders(copies, step)
    result.moves += plan.steps.filter((it) => it.action === 'load').length
    result.attainment += computeAttainment(groups.map((group) => ({ ...group, load: demand.get(group.item) ?? 0 })), holders)
    result.unreachable += groups.filter((group) => !holders.has(group.item)).length
  }
  result.attainment /= trace.steps.length
  return result
}

function planStep (
  planner: Planner,
  groups: readonly PlanGroup[],
  alive: readonly PlanServer[],
  copies: readonly MovingCopy[],
  estimates: ReadonlyMap<string, number>,
): Plan {
  const staying = copies.filter((copy) => copy.goneAt === Infinity)
  const leaving = copies.filter((copy) => copy.goneAt < Infinity)
  const servers = alive.map((server) => ({ ...server, reserved: sumBytes(groups, leaving.filter((copy) => copy.server === server.id)) }))
  return planner.plan({
    groups: groups.map((group) => ({ ...group, load: estimates.get(group.item) ?? 0 })),
    servers,
    copies: staying,
    quotas: {},
    maxLoads: LOADS_PER_STEP,
    maxMoves: MOVES_PER_STEP,
  })
}

function applyPlan (plan: Plan, copies: MovingCopy[], step: number): MovingCopy[] {
  const next = [...copies]
  let loads = 0
  for (const it of plan.steps) {
    if (it.action === 'load' && loads++ < LOADS_PER_STEP) next.push({ item: it.item, server: it.server, ready: true, readyAt: step + LOAD_STEPS, goneAt: Infinity })
    const leaving = it.action === 'unload' ? next.find((copy) => copy.item === it.item && copy.server === it.server && copy.goneAt === Infinity) : undefined
    if (leaving) leaving.goneAt = step + UNLOAD_STEPS
  }
  return next
}

function listAlive (servers: readonly PlanServer[], trace: DemandTrace, step: number): PlanServer[] {
  const lost = new Set(trace.losses.filter((loss) => loss.step <= step).flatMap((loss) => loss.servers))
  return servers.filter((server) => !lost.has(server.id))
}

function listHolders (copies: readonly MovingCopy[], step: number): Map<string, string[]> {
  const holders = new Map<string, string[]>()
  for (const copy of copies) {
    if (copy.readyAt <= step && copy.goneAt > step) holders.set(copy.item, [...holders.get(copy.item) ?? [], copy.server])
  }
  return holders
}

function updateEstimates (estimates: Map<string, number>, demand: ReadonlyMap<string, number>): void {
  for (const [item, load] of demand) {
    const held = estimates.get(item) ?? load
    estimates.set(item, held + (load - held) * (load > held ? RISE : FALL))
  }
}

function sumBytes (groups: readonly PlanGroup[], copies: readonly PlanCopy[]): number {
  return copies.reduce((sum, copy) => sum + (groups.find((group) => group.item === copy.item)?.bytes ?? 0), 0)
}
