import type { Backend, BackendFleet } from '@pulleystack/routing.fleet'

/** A broken server begins no stream for far longer than this, in milliseconds; slow spells last less than a second. */
const MAX_SILENCE_MS = 2_000

/**
 * Whether a server that was silent for one request has begun streams of others, here or at a peer, since a moment ago. It is slow then, and ejecting it
 * would move its load to other servers; if it fails more requests than similar servers do, its failure rate still excludes it.
 */
export function isSlowOnly (fleet: Pick<BackendFleet, 'findPaces'>, { id, entry }: Backend, now: number): boolean {
  return fleet.findPaces(entry.service).hasRecentSample(id, MAX_SILENCE_MS, now)
}
