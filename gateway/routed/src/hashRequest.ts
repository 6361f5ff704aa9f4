import { hashParts } from '@pulleystack/core.hashing'
import type { RoutedWork } from './RoutedWork.js'

/** Identifies a request across retries with different request ids, by its target, content and caller. */
export function hashRequest ({ host, method, path, team, facts, body }: Pick<RoutedWork, 'host' | 'method' | 'path' | 'team' | 'facts' | 'body'>): string {
  // Including the caller keeps one caller from getting the requests of another one rejected.
  const caller = team?.name ?? facts.accessKey ?? ''
  return hashParts([host, method, path, caller], body)
}
