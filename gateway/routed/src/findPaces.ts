import { isHeterogeneous, type ModelServing, type RoutedService } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import type { BackendFleet, ServerPaces } from '@pulleystack/routing.fleet'

/** Whether services are heterogeneous, which is asked for each request and server choice but compares all models. */
const isHeterogeneousByServing = new WeakMap<ModelServing, boolean>()

/** Returns the pace estimates of a service's servers; undefined if all are taken to have the same pace. */
export function findPaces ({ fleet, policy }: { fleet: BackendFleet, policy: Policy }, { name, serving }: RoutedService): ServerPaces | undefined {
  if (!serving || !policy.paceEstimates) return undefined
  const isVaried = isHeterogeneousByServing.get(serving) ?? isHeterogeneous(serving)
  isHeterogeneousByServing.set(serving, isVaried)
  return isVaried ? fleet.findPaces(name) : undefined
}
