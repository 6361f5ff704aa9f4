import type { StreamOrigin } from '@pulleystack/routing.fleet'
import type { StreamOrigins } from '@pulleystack/routing.origins'
import { isResumable, type RoutedWork } from './RoutedWork.js'

/** Must be called before each attempt at a server; resolves once a stream may begin there, or the request has ended. */
export async function beginStream (origins: Pick<StreamOrigins, 'store' | 'begin'>, work: RoutedWork, origin: StreamOrigin): Promise<void> {
  if (!isResumable(work)) return
  if (work.origin) storeOrigin(origins, work, work.origin)
  await origins.begin(work.origin ?? origin, work.signal)
}

/** Must be called at the end of each request; `isWhole` tells whether its response was relayed to the end. */
export function endStream (origins: Pick<StreamOrigins, 'end'>, work: RoutedWork, { isWhole }: { isWhole: boolean }): void {
  if (work.hasStoredOrigin) origins.end(work.streamId, { mayBeResumed: !isWhole && work.stream.lastEventId !== undefined })
}

/**
 * Records where the stream begins, for its further attempts and for the client's; must be called before its first event is passed on. Without an origin the
 * stream can't go on elsewhere. An event that is passed on to another instance may never reach the client.
 */
export function recordOrigin (origins: Pick<StreamOrigins, 'store' | 'record'>, work: RoutedWork, origin: StreamOrigin | undefined): void {
  if (work.origin || !origin) return
  work.origin = origin
  if (work.answersPeer) return
  origins.record(work.requestId, origin, listServices(work))
  if (isResumable(work)) storeOrigin(origins, work, origin)
}

/** Stores the origin once for each request, as the requests that run for a stream are counted. */
function storeOrigin (origins: Pick<StreamOrigins, 'store'>, work: RoutedWork, origin: StreamOrigin): void {
  if (work.answersPeer || work.hasStoredOrigin) return
  work.hasStoredOrigin = true
  origins.store(work.streamId, origin, listServices(work))
}

function listServices ({ route }: RoutedWork): string[] {
  return route.targets.map(({ service }) => service)
}
