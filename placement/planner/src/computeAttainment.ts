import type { PlanGroup } from './planTypes.js'

const ROUNDS = 40

/**
 * Weighted share of demand that a placement can carry, from 0 to 1. Each item's load may be split over its copies in
 * any way; it is shifted step by step from accelerators that are fuller to ones that are less full. An item without a
 * copy attains nothing.
 */
export function computeAttainment (groups: readonly PlanGroup[], holders: ReadonlyMap<string, readonly string[]>): number {
  const flows = groups.filter((group) => (holders.get(group.item)?.length ?? 0) > 0).map((group) => createFlow(group, holders.get(group.item) ?? []))
  const loads = new Map<string, number>()
  for (const flow of flows) flow.servers.forEach((server, i) => loads.set(server, (loads.get(server) ?? 0) + (flow.parts[i] ?? 0)))
  for (let round = 0; round < ROUNDS; round++) {
    for (const flow of flows) balanceFlow(flow, loads)
  }
  return sumAttained(groups, flows, loads)
}

interface Flow {
  group: PlanGroup
  servers: readonly string[]
  parts: number[]
}

function createFlow (group: PlanGroup, servers: readonly string[]): Flow {
  return { group, servers, parts: servers.map(() => group.load / servers.length) }
}

/** Fills the item's accelerators like vessels up to one level. */
function balanceFlow (flow: Flow, loads: Map<string, number>): void {
  if (flow.servers.length < 2 || flow.group.load === 0) return
  const others = flow.servers.map((server, i) => (loads.get(server) ?? 0) - (flow.parts[i] ?? 0))
  const level = findLevel(others, flow.group.load)
  flow.servers.forEach((server, i) => {
    const part = Math.max(0, level - (others[i] ?? 0))
    loads.set(server, (others[i] ?? 0) + part)
    flow.parts[i] = part
  })
}

function findLevel (others: readonly number[], amount: number): number {
  const sorted = others.toSorted((a, b) => a - b)
  let sum = 0
  for (let count = 1; count <= sorted.length; count++) {
    sum += sorted[count - 1] as number
    const level = (amount + sum) / count
    if (count === sorted.length || level <= (sorted[count] as number)) return level
  }
  return 0
}

function sumAttained (groups: readonly PlanGroup[], flows: readonly Flow[], loads: ReadonlyMap<string, number>): number {
  const wanted = groups.reduce((sum, group) => sum + group.load * group.weight, 0)
  if (wanted === 0) return 1
  let attained = 0
  for (const { group, servers, parts } of flows) {
    servers.forEach((server, i) => {
      attained += (parts[i] ?? 0) * group.weight / Math.max(1, loads.get(server) ?? 0)
    })
  }
  return attained / wanted
}
