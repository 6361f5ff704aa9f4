import type { PlanGroup } from './planTypes.js'

/** How one item's load is split over its copies. */
export interface Flow {
  group: PlanGroup
  servers: string[]
  parts: number[]
}

/** An item's load spread evenly, to begin with. */
export function createFlow (group: PlanGroup, servers: readonly string[]): Flow {
  return { group, servers: [...servers], parts: servers.map(() => group.load / servers.length) }
}

/** Sums what all flows bring to each accelerator. */
export function sumLoads (flows: Iterable<Flow>): Map<string, number> {
  const loads = new Map<string, number>()
  for (const flow of flows) flow.servers.forEach((server, i) => loads.set(server, (loads.get(server) ?? 0) + (flow.parts[i] ?? 0)))
  return loads
}

/** Splits one item's load so that its accelerators come to one level, as routing by load does; keeps `loads` in step. */
export function balanceFlow (flow: Flow, loads: Map<string, number>): void {
  if (flow.servers.length < 2 || flow.group.load === 0) return
  const others = flow.servers.map((server, i) => (loads.get(server) ?? 0) - (flow.parts[i] ?? 0))
  const level = findLevel(others, flow.group.load)
  flow.servers.forEach((server, i) => {
    const part = Math.max(0, level - (others[i] ?? 0))
    loads.set(server, (others[i] ?? 0) + part)
    flow.parts[i] = part
  })
}

/** The height to which an amount fills vessels that are filled to different heights already. */
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
