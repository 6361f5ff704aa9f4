import { balanceSplit, createEvenSplit, sumLoads, type LoadSplit } from './loadSplits.js'
import type { PlanGroup } from './planTypes.js'

const BALANCING_ROUNDS = 40

/**
 * Computes the weighted share of demand that a placement can serve, from 0 to 1. Each item's load is balanced over its
 * copies iteratively. Demand for an item without a copy is not served.
 */
export function computeAttainment (groups: readonly PlanGroup[], holders: ReadonlyMap<string, readonly string[]>): number {
  const splits = groups.filter((group) => (holders.get(group.item)?.length ?? 0) > 0).map((group) => createEvenSplit(group, holders.get(group.item) ?? []))
  const loads = sumLoads(splits)
  for (let round = 0; round < BALANCING_ROUNDS; round++) {
    for (const split of splits) balanceSplit(split, loads)
  }
  return sumServed(groups, splits, loads)
}

function sumServed (groups: readonly PlanGroup[], splits: readonly LoadSplit[], loads: ReadonlyMap<string, number>): number {
  const demand = groups.reduce((sum, group) => sum + group.load * group.weight, 0)
  if (demand === 0) return 1
  let served = 0
  for (const { group, servers, parts } of splits) {
    servers.forEach((server, i) => {
      served += (parts[i] ?? 0) * group.weight / Math.max(1, loads.get(server) ?? 0)
    })
  }
  return served / demand
}
