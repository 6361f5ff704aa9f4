import type { RoutedRequestFacts } from '@pulleystack/backend.interfaces'
import type { Route, RouteTable, Team } from '@pulleystack/config.routes'
import { PulleystackError } from '@pulleystack/core.errors'

/** Time for this instance to receive the newest keys. */
const OUTDATED_RETRY_SECONDS = 0.5

export interface TeamLookup {
  table: RouteTable
  route: Route
  facts: RoutedRequestFacts
  /** Whether the table is known to be the newest one; an older one may lack new keys. */
  isTableCurrent: () => boolean
}

/**
 * Finds the team that the access key of a request belongs to; undefined on a public route without a known key, or if there are no teams. Throws
 * ACCESS_KEY_WRONG, or CONFIG_OUTDATED if the key may be newer than the table.
 */
export function findTeam ({ table, route, facts, isTableCurrent }: TeamLookup): Team | undefined {
  if (!table.hasTeams) return undefined
  const team = facts.accessKey === undefined ? undefined : table.findTeamByKey(facts.accessKey)
  if (team !== undefined || route.isPublic) return team
  if (facts.accessKey === undefined || isTableCurrent()) throw new PulleystackError('ACCESS_KEY_WRONG', 'The access key is missing or not known')
  throw new PulleystackError('CONFIG_OUTDATED', 'This instance may not have the newest access keys', { retryAfterSeconds: OUTDATED_RETRY_SECONDS })
}
