import { Planner } from './Planner.js'
import { PlanState, type ServerState } from './PlanState.js'
import type { Plan, PlanGroup, PlanInput } from './planTypes.js'

/** Baseline: places every item once, on the least loaded accelerator with room, and moves nothing afterwards. */
export class StaticPlanner extends Planner {
  plan (input: PlanInput): Plan {
    const state = new PlanState(input)
    const unplaced: string[] = []
    for (const group of input.groups.toSorted((a, b) => b.bytes - a.bytes)) {
      if (state.countCopies(group.item) > 0 || group.retiring) continue
      const server = findLeastLoaded(state, group)
      if (server) state.load(group, server, 'even placement')
      else unplaced.push(group.item)
    }
    return { steps: state.steps, unplaced }
  }
}

/** Baseline: keeps the number of copies proportional to demand in every plan, regardless of the cost of moves. */
export class GreedyPlanner extends Planner {
  plan (input: PlanInput): Plan {
    const state = new PlanState(input)
    const base = new StaticPlanner().plan(input)
    for (const step of base.steps) state.load(state.groups.get(step.item) as PlanGroup, state.servers.get(step.server) as ServerState, step.reason)
    const sorted = input.groups.toSorted((a, b) => b.load * b.weight - a.load * a.weight)
    for (const group of sorted) this.removeCopies(state, group)
    for (const group of sorted) this.addCopies(state, group)
    return { steps: state.steps, unplaced: base.unplaced }
  }

  private removeCopies (state: PlanState, group: PlanGroup): void {
    const servers = state.listServers(group.item).toSorted((a, b) => b.load - a.load)
    const target = Math.max(group.minCopies, countTargetCopies(group))
    for (const server of servers.slice(0, Math.max(0, servers.length - target))) state.unload(group, server, 'demand fell')
  }

  private addCopies (state: PlanState, group: PlanGroup): void {
    while (state.countCopies(group.item) > 0 && state.countCopies(group.item) < countTargetCopies(group)) {
      const server = findLeastLoaded(state, group)
      if (!server) return
      state.load(group, server, 'demand rose')
    }
  }
}

function countTargetCopies (group: PlanGroup): number {
  return Math.min(group.maxCopies, Math.max(1, Math.ceil(group.load / 0.7)))
}

function findLeastLoaded (state: PlanState, group: PlanGroup): ServerState | undefined {
  let best: ServerState | undefined
  for (const server of state.servers.values()) {
    if (server.free < group.bytes || !state.isAllowed(group, server)) continue
    if (!best || server.load < best.load || (server.load === best.load && server.free > best.free)) best = server
  }
  return best
}
