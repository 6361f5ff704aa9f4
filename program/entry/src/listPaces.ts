import { isHeterogeneous, type RouteTable } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import type { Clock } from '@pulleystack/core.clock'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import type { ListedPace } from './EntryMetrics.js'

/** Lists the estimated pace of each server of the heterogeneous services; empty if the policy switches the estimates off. */
export function listPaces (opts: { clock: Clock, fleet: BackendFleet, policy: Policy, readTable: () => RouteTable | undefined }): ListedPace[] {
  const { clock, fleet, policy, readTable } = opts
  const services = policy.paceEstimates ? readTable()?.config.services ?? [] : []
  return services.filter(({ serving }) => isHeterogeneous(serving)).flatMap(({ name }) => {
    const paces = fleet.findPaces(name)
    return fleet.list(name).map(({ id }) => ({ server: id, pace: paces.read(id, clock.readTime()) }))
  })
}
