import { countUnits, type Team } from '@pulleystack/config.routes'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { TeamLimits } from '@pulleystack/routing.limits'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

/** What became of units that a team's requests asked for. */
export const QuotaOutcomes = { GRANTED: 'granted', REFUSED: 'refused', GIVEN_BACK: 'given-back' } as const
export type QuotaOutcome = typeof QuotaOutcomes[keyof typeof QuotaOutcomes]

export interface QuotaGateOptions {
  log: DecisionLog
  limits: TeamLimits
  onUnits: (team: string, outcome: QuotaOutcome, units: number) => void
}

/** A request that asks to be let in. */
interface Asking {
  requestId: string | undefined
  team: Team | undefined
  /** Tokens that it names. */
  tokens: number | undefined
}

/** What a request took out of its team's quota. */
export interface QuotaUse {
  /** To be called with the error by which it ended: what surely never ran counts for nothing. */
  settle: (error: PulleystackError) => void
}

const NO_USE: QuotaUse = { settle: () => undefined }

/** Lets requests of teams in that are inside their quotas; each is counted once, whatever becomes of its attempts. */
export class QuotaGate {
  constructor (private readonly opts: QuotaGateOptions) {}

  /** Rejects with a refusal when the request is beyond its team's quota. */
  async admit ({ requestId, team, tokens }: Asking): Promise<QuotaUse> {
    if (!team?.quota) return NO_USE
    const { log, limits, onUnits } = this.opts
    const units = countUnits(team.quota, tokens)
    const verdict = await limits.acquire(team, units)
    if (!verdict.isGranted) {
      const retryAfterMs = Math.round(verdict.retryAfterMs)
      onUnits(team.name, QuotaOutcomes.REFUSED, units)
      log.record(DecisionKinds.QUOTA_REFUSED, { request: requestId, team: team.name, units, retryAfterMs })
      throw new PulleystackError('RATE_EXCEEDED', 'The request is beyond the quota of its team', { retryAfterSeconds: retryAfterMs / 1000 })
    }
    onUnits(team.name, QuotaOutcomes.GRANTED, units)
    const settle = (error: PulleystackError): void => {
      if (error.ran !== Ran.NO) return
      limits.giveBack(team, units)
      onUnits(team.name, QuotaOutcomes.GIVEN_BACK, units)
    }
    return { settle }
  }
}
