import { Planner } from './Planner.js'
import { PlanState, type ServerState } from './PlanState.js'
import type { Plan, PlanGroup, PlanInput } from './planTypes.js'

// An accelerator above this share of its throughput is worth relieving; below it, copies stay where they are.
const HIGH_LOAD = 1.05
// A copy that would carry less than this is not worth having.
const USEFUL_LOAD = 0.7
// What a move must win, times the partner's penalty, in shares of an accelerator.
const LEAST_GAIN = 0.1
// Outweighs any load: one copy more in the same data hall is lost together with the first.
const SAME_HALL = 10

/**
 * Moves little: first every item gets a copy and its minimum, in different data halls; then items on overloaded
 * accelerators get further copies where the relief is worth the move. Copies that are no longer needed stay until
 * somebody needs their room, and those of a partner above its guaranteed share go first.
 */
export class HysteresisPlanner extends Planner {
  plan (input: PlanInput): Plan {
    const state = new PlanState(input)
    const unplaced = this.placeMissing(state)
    this.retire(state)
    this.relieve(state)
    return { steps: state.steps, unplaced }
  }

  /** Items without a copy first, heaviest loss first; then those below their minimum. */
  private placeMissing (state: PlanState): string[] {
    const wanted = state.input.groups.filter((group) => !group.retiring)
    const unplaced: string[] = []
    const lost = wanted.filter((group) => state.countCopies(group.item) === 0)
    // Of items that are equally missed the large one first: small ones find room anywhere.
    lost.sort((a, b) => b.load * b.weight - a.load * a.weight || b.bytes - a.bytes)
    for (const group of lost) {
      if (!this.addCopy(state, group, 'has no copy')) unplaced.push(group.item)
    }
    for (const group of wanted) {
      // Loads of this plan are bounded; what is still missing then comes with the next one.
      while (countLoads(state) < state.input.maxLoads && state.countCopies(group.item) > 0 && state.countCopies(group.item) < group.minCopies) {
        if (!this.addCopy(state, group, `has fewer than ${group.minCopies} copies`)) break
      }
    }
    return unplaced
  }

  private addCopy (state: PlanState, group: PlanGroup, reason: string): boolean {
    if (countLoads(state) >= state.input.maxLoads) return true
    const server = findRoom(state, group)
    if (server) {
      state.load(group, server, reason)
      return true
    }
    return makeRoom(state, group, reason)
  }

  /** Removes copies of items that are not wanted any more, once what replaces them is ready. */
  private retire (state: PlanState): void {
    for (const group of state.input.groups) {
      if (!group.retiring) continue
      if (group.replacedBy !== undefined && state.countReady(group.replacedBy) === 0) continue
      for (const server of state.listHolders(group.item)) state.unload(group, server, 'is not wanted any more')
    }
  }

  private relieve (state: PlanState): void {
    for (let moves = 0; moves < state.input.maxMoves && countLoads(state) < state.input.maxLoads; moves++) {
      const best = findBestRelief(state)
      if (!best) return
      if (best.server) state.load(best.group, best.server, `relieves an accelerator at ${Math.round(best.highest * 100)}% of its throughput`)
      else if (!makeRoom(state, best.group, 'relieves an overloaded accelerator')) return
    }
  }
}

interface Relief {
  group: PlanGroup
  server: ServerState | undefined
  gain: number
  highest: number
}

function findBestRelief (state: PlanState): Relief | undefined {
  let best: Relief | undefined
  for (const group of listStressed(state)) {
    const relief = evaluateRelief(state, group)
    if (relief && relief.gain > (best?.gain ?? 0)) best = relief
  }
  return best
}

/** Items with a copy on an overloaded accelerator that may have one more. */
function listStressed (state: PlanState): Set<PlanGroup> {
  const stressed = new Set<PlanGroup>()
  for (const server of state.servers.values()) {
    if (server.load <= HIGH_LOAD) continue
    for (const item of server.items) {
      const group = state.groups.get(item)
      if (group && !group.retiring && state.countCopies(item) < countUseful(group)) stressed.add(group)
    }
  }
  return stressed
}

/** Copies beyond what an item's own load fills would only dodge its neighbours, at the price of a move each. */
function countUseful (group: PlanGroup): number {
  return Math.min(group.maxCopies, Math.ceil(group.load / USEFUL_LOAD))
}

function evaluateRelief (state: PlanState, group: PlanGroup): Relief | undefined {
  if (!state.mayTake(group.partner, group.bytes)) return undefined
  const holders = state.listHolders(group.item)
  const over = holders.reduce((sum, server) => sum + Math.max(0, server.load - HIGH_LOAD), 0)
  const highest = Math.max(...holders.map((server) => server.load))
  const server = findRoom(state, group)
  const target = server ?? findLeastLoaded(state, group)
  const spare = target ? Math.max(0, HIGH_LOAD - target.load) : 0
  const gain = Math.min(over, spare, group.load) * group.weight
  if (gain < LEAST_GAIN * group.movePenalty) return undefined
  return { group, server, gain, highest }
}

/** The best allowed accelerator with room: a second data hall before the first, then the least loaded, then the tightest fit. */
function findRoom (state: PlanState, group: PlanGroup): ServerState | undefined {
  const halls = new Set(state.listHolders(group.item).map((server) => server.dataHall))
  let best: ServerState | undefined
  let bestScore = Infinity
  for (const server of state.servers.values()) {
    if (server.free < group.bytes || !state.isAllowed(group, server)) continue
    const slack = group.load > 0 ? 0 : (server.free - group.bytes) / server.capacity
    const score = (halls.size === 1 && halls.has(server.dataHall) ? SAME_HALL : 0) + server.load + slack
    if (score < bestScore) {
      best = server
      bestScore = score
    }
  }
  return best
}

function findLeastLoaded (state: PlanState, group: PlanGroup): ServerState | undefined {
  let best: ServerState | undefined
  for (const server of state.servers.values()) {
    if (state.isAllowed(group, server) && server.load < (best?.load ?? Infinity)) best = server
  }
  return best
}

interface Eviction {
  server: ServerState
  victims: PlanGroup[]
  cost: number
}

/**
 * Unloads copies that others can spare, where that makes room for the group with the least loss. The load itself is
 * planned once the engine has confirmed that the bytes are free.
 */
function makeRoom (state: PlanState, group: PlanGroup, reason: string): boolean {
  let best: Eviction | undefined
  for (const server of state.servers.values()) {
    if (!state.isAllowed(group, server)) continue
    const eviction = evaluateEviction(state, server, group)
    if (eviction && eviction.cost < (best?.cost ?? Infinity)) best = eviction
  }
  if (!best) return false
  for (const victim of best.victims) state.unload(victim, best.server, `makes room for ${group.item}, which ${reason}`)
  return true
}

function evaluateEviction (state: PlanState, server: ServerState, group: PlanGroup): Eviction | undefined {
  const spare = [...server.items].flatMap((item) => state.groups.get(item) ?? []).filter((victim) => isSpare(state, victim, group))
  spare.sort((a, b) => computeLoss(state, a) - computeLoss(state, b))
  const victims: PlanGroup[] = []
  let free = server.free
  let cost = server.load * 0.01
  for (const victim of spare) {
    if (free >= group.bytes) break
    victims.push(victim)
    free += victim.bytes
    cost += computeLoss(state, victim)
  }
  return free >= group.bytes ? { server, victims, cost } : undefined
}

/** A copy beyond the minimum; and another partner's only what it has above its guaranteed share. */
function isSpare (state: PlanState, victim: PlanGroup, group: PlanGroup): boolean {
  const copies = state.countCopies(victim.item)
  if (victim.item === group.item || copies <= 1) return false
  // A version on its way out may go down to its last copy, since that one still serves.
  if (!victim.retiring && copies <= victim.minCopies) return false
  return victim.partner === group.partner || state.computeExcess(victim.partner) >= victim.bytes
}

function computeLoss (state: PlanState, victim: PlanGroup): number {
  const copies = state.countCopies(victim.item)
  const excess = state.computeExcess(victim.partner) > 0 ? 0.5 : 1
  return (victim.load / copies * victim.weight + 0.05 * victim.movePenalty) * excess
}

function countLoads (state: PlanState): number {
  return state.steps.reduce((sum, step) => step.action === 'load' ? sum + 1 : sum, 0)
}
