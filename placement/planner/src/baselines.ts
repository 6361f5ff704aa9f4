import { Planner } from './Planner.js'
import { PlanState, type ServerState } from './PlanState.js'
import type { Plan, PlanGroup, PlanInput } from './planTypes.js'

/** Baseline: every item once, spread by free bytes, and then nothing moves. */
export class StaticPlanner extends Planner {
  plan (input: PlanInput): Plan {
    const state = new PlanState(input)
    const unplaced: string[] = []
    for (const group of input.groups.toSorted((a, b) => b.bytes - a.bytes)) {
      if (state.countCopies(group.item) > 0 || group.retiring) continue
      const server = findEmptiest(state, group)
      if (server) state.load(group, server, 'even placement')
      else unplaced.push(group.item)
    }
    return { steps: state.steps, unplaced }
  }
}

/** Baseline: copies in proportion to demand, put right at every turn without regard to what a move costs. */
export class GreedyPlanner extends Planner {
  plan (input: PlanInput): Plan {
    const state = new PlanState(input)
    const base = new StaticPlanner().plan(input)
    for (const step of base.steps) state.load(state.groups.get(step.item) as PlanGroup, state.servers.get(step.server) as ServerState, step.reason)
    const sorted = input.groups.toSorted((a, b) => b.load * b.weight - a.load * a.weight)
    for (const group of sorted) this.shrink(state, group)
    for (const group of sorted) this.grow(state, group)
    return { steps: state.steps, unplaced: base.unplaced }
  }

  private shrink (state: PlanState, group: PlanGroup): void {
    const holders = state.listHolders(group.item).toSorted((a, b) => b.load - a.load)
    const wanted = Math.max(group.minCopies, countWanted(group))
    for (const server of holders.slice(0, Math.max(0, holders.length - wanted))) state.unload(group, server, 'demand fell')
  }

  private grow (state: PlanState, group: PlanGroup): void {
    while (state.countCopies(group.item) > 0 && state.countCopies(group.item) < countWanted(group)) {
      const server = findEmptiest(state, group)
      if (!server) return
      state.load(group, server, 'demand rose')
    }
  }
}

function countWanted (group: PlanGroup): number {
  return Math.min(group.maxCopies, Math.max(1, Math.ceil(group.load / 0.7)))
}

function findEmptiest (state: PlanState, group: PlanGroup): ServerState | undefined {
  let best: ServerState | undefined
  for (const server of state.servers.values()) {
    if (server.free < group.bytes || !state.isAllowed(group, server)) continue
    if (!best || server.load < best.load || (server.load === best.load && server.free > best.free)) best = server
  }
  return best
}
