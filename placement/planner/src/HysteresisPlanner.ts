import { Planner } from './Planner.js'
import { PlanState, type ServerState } from './PlanState.js'
import type { Plan, PlanGroup, PlanInput } from './planTypes.js'

// Load, as a share of throughput, above which an accelerator counts as overloaded.
const OVERLOAD_THRESHOLD = 1.05
// Average load, as a share of an accelerator's throughput, below which an item needs no further copy.
const MIN_COPY_LOAD = 0.7
// Weighted load that a move must relieve, as a share of an accelerator's throughput; multiplied by the group's move penalty.
const MIN_MOVE_GAIN = 0.1
// Outweighs any load, so that an item's copies don't all depend on one data hall.
const SAME_HALL_PENALTY = 10

/**
 * Plans few moves: every item gets its minimum number of copies, in different data halls, and items on overloaded
 * accelerators get extra copies where the gain justifies the move. Surplus copies are evicted only when their memory
 * is needed, preferably those of partners above their guaranteed share.
 */
export class HysteresisPlanner extends Planner {
  plan (input: PlanInput): Plan {
    const state = new PlanState(input)
    const unplaced = this.addMissingCopies(state)
    this.unloadRetiring(state)
    this.addExtraCopies(state)
    return { steps: state.steps, unplaced }
  }

  /** Adds copies of items that have none, highest weighted load first, and then of items below their minimum. */
  private addMissingCopies (state: PlanState): string[] {
    const wanted = state.input.groups.filter((group) => !group.retiring)
    const unplaced: string[] = []
    const withoutCopy = wanted.filter((group) => state.countCopies(group.item) === 0)
    // At equal weighted load the larger item goes first, as it is harder to fit.
    withoutCopy.sort((a, b) => b.load * b.weight - a.load * a.weight || b.bytes - a.bytes)
    for (const group of withoutCopy) {
      if (!this.addCopy(state, group, 'has no copy')) unplaced.push(group.item)
    }
    for (const group of wanted) {
      // Copies beyond the load limit are left to the next plan.
      while (countLoads(state) < state.input.maxLoads && state.countCopies(group.item) > 0 && state.countCopies(group.item) < group.minCopies) {
        if (!this.addCopy(state, group, `has fewer than ${group.minCopies} copies`)) break
      }
    }
    return unplaced
  }

  private addCopy (state: PlanState, group: PlanGroup, reason: string): boolean {
    if (countLoads(state) >= state.input.maxLoads) return true
    const server = findServer(state, group)
    if (server) {
      state.load(group, server, reason)
      return true
    }
    return makeRoom(state, group, reason)
  }

  /** Unloads copies of retiring items once their replacement is ready. */
  private unloadRetiring (state: PlanState): void {
    for (const group of state.input.groups) {
      if (!group.retiring) continue
      if (group.replacedBy !== undefined && state.countReady(group.replacedBy) === 0) continue
      for (const server of state.listServers(group.item)) state.unload(group, server, 'is no longer wanted')
    }
  }

  private addExtraCopies (state: PlanState): void {
    for (let moves = 0; moves < state.input.maxMoves && countLoads(state) < state.input.maxLoads; moves++) {
      const best = findBestExtraCopy(state)
      if (!best) return
      if (best.server) state.load(best.group, best.server, `relieves an accelerator at ${Math.round(best.highestLoad * 100)}% of its throughput`)
      else if (!makeRoom(state, best.group, 'relieves an overloaded accelerator')) return
    }
  }
}

interface ExtraCopy {
  group: PlanGroup
  server: ServerState | undefined
  gain: number
  highestLoad: number
}

function findBestExtraCopy (state: PlanState): ExtraCopy | undefined {
  let best: ExtraCopy | undefined
  for (const group of listOverloaded(state)) {
    const extra = evaluateExtraCopy(state, group)
    if (extra && extra.gain > (best?.gain ?? 0)) best = extra
  }
  return best
}

/** Lists items with a copy on an overloaded accelerator that may have another copy. */
function listOverloaded (state: PlanState): Set<PlanGroup> {
  const overloaded = new Set<PlanGroup>()
  for (const server of state.servers.values()) {
    if (server.load <= OVERLOAD_THRESHOLD) continue
    for (const item of server.items) {
      const group = state.groups.get(item)
      if (group && !group.retiring && state.countCopies(item) < countUsefulCopies(group)) overloaded.add(group)
    }
  }
  return overloaded
}

/** Counts the copies that an item's own load justifies, regardless of other items on the same accelerators. */
function countUsefulCopies (group: PlanGroup): number {
  return Math.min(group.maxCopies, Math.ceil(group.load / MIN_COPY_LOAD))
}

function evaluateExtraCopy (state: PlanState, group: PlanGroup): ExtraCopy | undefined {
  if (!state.mayUse(group.partner, group.bytes)) return undefined
  const servers = state.listServers(group.item)
  const overload = servers.reduce((sum, server) => sum + Math.max(0, server.load - OVERLOAD_THRESHOLD), 0)
  const highestLoad = Math.max(...servers.map((server) => server.load))
  const server = findServer(state, group)
  const target = server ?? findLeastLoaded(state, group)
  const headroom = target ? Math.max(0, OVERLOAD_THRESHOLD - target.load) : 0
  const gain = Math.min(overload, headroom, group.load) * group.weight
  if (gain < MIN_MOVE_GAIN * group.movePenalty) return undefined
  return { group, server, gain, highestLoad }
}

/** Finds an allowed accelerator with room, preferring a second data hall, then low load; idle items prefer the tightest fit. */
function findServer (state: PlanState, group: PlanGroup): ServerState | undefined {
  const halls = new Set(state.listServers(group.item).map((server) => server.dataHall))
  let best: ServerState | undefined
  let bestScore = Infinity
  for (const server of state.servers.values()) {
    if (server.free < group.bytes || !state.isAllowed(group, server)) continue
    const slack = group.load > 0 ? 0 : (server.free - group.bytes) / server.capacity
    const score = (halls.size === 1 && halls.has(server.dataHall) ? SAME_HALL_PENALTY : 0) + server.load + slack
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
 * Evicts spare copies from the accelerator where that costs least. The group itself is loaded by a later plan, after
 * the engine has confirmed that the memory is free.
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
  const candidates = [...server.items].flatMap((item) => state.groups.get(item) ?? []).filter((victim) => isEvictable(state, victim, group))
  candidates.sort((a, b) => computeEvictionCost(state, a) - computeEvictionCost(state, b))
  const victims: PlanGroup[] = []
  let free = server.free
  let cost = server.load * 0.01
  for (const victim of candidates) {
    if (free >= group.bytes) break
    victims.push(victim)
    free += victim.bytes
    cost += computeEvictionCost(state, victim)
  }
  return free >= group.bytes ? { server, victims, cost } : undefined
}

/** Whether a copy may be evicted: it exceeds the minimum, and its partner is the group's own or above its guaranteed share. */
function isEvictable (state: PlanState, victim: PlanGroup, group: PlanGroup): boolean {
  const copies = state.countCopies(victim.item)
  if (victim.item === group.item || copies <= 1) return false
  // A retiring version may be reduced to one copy, which still serves requests.
  if (!victim.retiring && copies <= victim.minCopies) return false
  return victim.partner === group.partner || state.computeQuotaExcess(victim.partner) >= victim.bytes
}

function computeEvictionCost (state: PlanState, victim: PlanGroup): number {
  const copies = state.countCopies(victim.item)
  const excessFactor = state.computeQuotaExcess(victim.partner) > 0 ? 0.5 : 1
  return (victim.load / copies * victim.weight + 0.05 * victim.movePenalty) * excessFactor
}

function countLoads (state: PlanState): number {
  return state.steps.reduce((sum, step) => step.action === 'load' ? sum + 1 : sum, 0)
}
