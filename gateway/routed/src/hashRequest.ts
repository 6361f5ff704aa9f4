import { hashParts } from '@pulleystack/core.hashing'
import type { RoutedWork } from './RoutedWork.js'

/** What makes a request the same one when it comes again under another id: what is asked of whom, and by whom. */
export function hashWork ({ host, method, path, team, facts, body }: Pick<RoutedWork, 'host' | 'method' | 'path' | 'team' | 'facts' | 'body'>): string {
  // Nobody else's request is the same one, so that no caller can get another's refused.
  const caller = team?.name ?? facts.accessKey ?? ''
  return hashParts([host, method, path, caller], body)
}
