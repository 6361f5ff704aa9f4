import { balanceFlow, createFlow, sumLoads, type Flow } from './balanceFlows.js'
import type { PlanGroup } from './planTypes.js'

const ROUNDS = 40

/**
 * Weighted share of demand that a placement can carry, from 0 to 1. Each item's load may be split over its copies in
 * any way; it is shifted step by step from accelerators that are fuller to ones that are less full. An item without a
 * copy attains nothing.
 */
export function computeAttainment (groups: readonly PlanGroup[], holders: ReadonlyMap<string, readonly string[]>): number {
  const flows = groups.filter((group) => (holders.get(group.item)?.length ?? 0) > 0).map((group) => createFlow(group, holders.get(group.item) ?? []))
  const loads = sumLoads(flows)
  for (let round = 0; round < ROUNDS; round++) {
    for (const flow of flows) balanceFlow(flow, loads)
  }
  return sumAttained(groups, flows, loads)
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
