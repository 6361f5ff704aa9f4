import type { PlanGroup, PlanServer } from '@pulleystack/placement.planner'
import solver from 'javascript-lp-solver'

interface Model {
  optimize: string
  opType: 'max'
  constraints: Record<string, { max?: number, min?: number }>
  variables: Record<string, Record<string, number>>
  ints: Record<string, 1>
}

/** Finds the largest share of weighted demand that a placement with a copy of every item can serve, by integer programming; for small cases. */
export function findOptimum (groups: readonly PlanGroup[], servers: readonly PlanServer[]): number {
  const model: Model = { optimize: 'attained', opType: 'max', constraints: {}, variables: {}, ints: {} }
  for (const server of servers) {
    model.constraints[`bytes ${server.id}`] = { max: server.capacity }
    model.constraints[`load ${server.id}`] = { max: 1 }
  }
  for (const group of groups) addGroup(model, group, servers)
  const solution = solver.Solve(model as never) as unknown as { result: number }
  const totalDemand = groups.reduce((sum, group) => sum + group.load * group.weight, 0)
  return totalDemand === 0 ? 1 : solution.result / totalDemand
}

function addGroup (model: Model, group: PlanGroup, servers: readonly PlanServer[]): void {
  const { item } = group
  model.constraints[`copies ${item}`] = { min: 1 }
  model.constraints[`demand ${item}`] = { max: group.load }
  for (const { id } of servers) {
    const placement = `place ${item} ${id}`
    const flow = `flow ${item} ${id}`
    const link = `link ${item} ${id}`
    model.constraints[link] = { max: 0 }
    model.variables[placement] = { [`bytes ${id}`]: group.bytes, [`copies ${item}`]: 1, [link]: -1, [placement]: 1 }
    model.constraints[placement] = { max: 1 }
    model.ints[placement] = 1
    model.variables[flow] = { attained: group.weight, [`load ${id}`]: 1, [`demand ${item}`]: 1, [link]: 1 }
  }
}
