import type { Team } from '@pulleystack/config.routes'
import type { RateVerdict } from './RatePool.js'

/** Keeps the quotas of teams, counted over all instances together; ways to do so differ in what they tell each other and when. */
export abstract class TeamLimits {
  /** Takes a request's units out of its team's quota. Each request is counted once, however many attempts it takes. */
  abstract acquire (team: Team, units: number): Promise<RateVerdict>
  /** Gives back what a request took that surely never ran. */
  abstract giveBack (team: Team, units: number): void
  /** Begins to tell the other instances what they need; goes on until the signal ends. */
  abstract start (signal: AbortSignal): void
}
