import type { StreamOrigin } from '@pulleystack/routing.fleet'
import type { StreamOrigins } from '@pulleystack/routing.origins'
import type { RoutedWork } from './RoutedWork.js'

/**
 * Records where the stream begins, for its further attempts and for the client's; must be called before its first event is passed on. Without an origin the
 * stream can't go on elsewhere.
 */
export function recordOrigin (origins: Pick<StreamOrigins, 'record'>, work: RoutedWork, origin: StreamOrigin | undefined): void {
  if (work.origin || !origin) return
  work.origin = origin
  origins.record(work.requestId, origin, work.route.targets.map(({ service }) => service))
}
