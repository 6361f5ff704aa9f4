import { isOfVersion, type BackendFleet } from '@pulleystack/routing.fleet'
import type { RoutedWork } from './RoutedWork.js'

/** Returns the software version that the request's server must have; undefined if it continues no stream, or all servers have that version. */
export function findRequiredVersion (fleet: Pick<BackendFleet, 'list'>, { service, origin }: RoutedWork): string | undefined {
  if (!origin) return undefined
  const hasOthers = fleet.list(service.name).some(({ entry }) => !isOfVersion(entry, origin.version))
  return hasOthers ? origin.version : undefined
}
