import type { RoutedRequestFacts } from '@pulleystack/backend.interfaces'
import type { Route, RouteTable, Team } from '@pulleystack/config.routes'
import { PulleystackError } from '@pulleystack/core.errors'

/** By then this instance knows the newest keys, or a client has asked another one. */
const OUTDATED_RETRY_SECONDS = 0.5

export interface Access {
  table: RouteTable
  route: Route
  facts: RoutedRequestFacts
  /** Whether the table surely is the newest one; a key that an older one lacks may be new. */
  isTableCurrent: () => boolean
}

/** The team whose key a request shows; undefined where none is asked for and none is known. Throws when the request may not run. */
export function findTeam ({ table, route, facts, isTableCurrent }: Access): Team | undefined {
  if (!table.hasTeams) return undefined
  const team = facts.accessKey === undefined ? undefined : table.findTeamByKey(facts.accessKey)
  if (team !== undefined || route.isPublic) return team
  if (facts.accessKey === undefined || isTableCurrent()) throw new PulleystackError('ACCESS_KEY_WRONG', 'The access key is missing or not known')
  throw new PulleystackError('CONFIG_OUTDATED', 'This instance may not know the newest access keys', { retryAfterSeconds: OUTDATED_RETRY_SECONDS })
}
