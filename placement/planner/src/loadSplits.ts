import type { PlanGroup } from './planTypes.js'

/** The split of one item's load over its copies; `parts` has one entry for each server. */
export interface LoadSplit {
  group: PlanGroup
  servers: string[]
  parts: number[]
}

/** Splits an item's load evenly. */
export function createEvenSplit (group: PlanGroup, servers: readonly string[]): LoadSplit {
  return { group, servers: [...servers], parts: servers.map(() => group.load / servers.length) }
}

/** Sums the load of all splits by accelerator. */
export function sumLoads (splits: Iterable<LoadSplit>): Map<string, number> {
  const loads = new Map<string, number>()
  for (const split of splits) split.servers.forEach((server, i) => loads.set(server, (loads.get(server) ?? 0) + (split.parts[i] ?? 0)))
  return loads
}

/** Splits one item's load so that its accelerators are loaded equally, as load-based routing would; updates `loads`. */
export function balanceSplit (split: LoadSplit, loads: Map<string, number>): void {
  if (split.servers.length < 2 || split.group.load === 0) return
  const others = split.servers.map((server, i) => (loads.get(server) ?? 0) - (split.parts[i] ?? 0))
  const level = findLevel(others, split.group.load)
  split.servers.forEach((server, i) => {
    const part = Math.max(0, level - (others[i] ?? 0))
    loads.set(server, (others[i] ?? 0) + part)
    split.parts[i] = part
  })
}

/** Finds the common level that results from adding an amount to the least loaded accelerators (water filling). */
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
