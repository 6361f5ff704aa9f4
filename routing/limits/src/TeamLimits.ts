import type { Team } from '@pulleystack/config.routes'

/** What becomes of one request under its team's quota. */
export type QuotaVerdict =
  | { isGranted: true }
  /** Over the quota; `retryAfterMs` is when it will likely be inside. */
  | { isGranted: false, retryAfterMs: number }

/** Keeps the quotas of teams, counted over all instances together; ways to do so differ in what they tell each other and when. */
export abstract class TeamLimits {
  /** Takes a request's units out of its team's quota. Each request is counted once, however many attempts it takes. */
  abstract acquire (team: Team, units: number): Promise<QuotaVerdict>
  /** Gives back what a request took that surely never ran. */
  abstract giveBack (team: Team, units: number): void
  /** Begins to tell the other instances what they need; goes on until the signal ends. */
  abstract start (signal: AbortSignal): void
}
