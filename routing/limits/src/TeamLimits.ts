import type { Team } from '@pulleystack/config.routes'
import type { RateVerdict } from './RatePool.js'

/** Enforces the quotas of teams across all instances. */
export abstract class TeamLimits {
  /** Takes a request's units out of its team's quota. Call once per request, regardless of the number of attempts. */
  abstract acquire (team: Team, units: number): Promise<RateVerdict>
  /** Returns the units of a request that did not run. */
  abstract release (team: Team, units: number): void
  /** Starts the exchange with the other instances; stops when the signal aborts. */
  abstract start (signal: AbortSignal): void
}
