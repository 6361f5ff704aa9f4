import { countUnits, type Team } from '@pulleystack/config.routes'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { TeamLimits } from '@pulleystack/routing.limits'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

/** Outcomes of the quota units that a team's requests need. */
export const QuotaOutcomes = { GRANTED: 'granted', REFUSED: 'refused', GIVEN_BACK: 'given-back' } as const
export type QuotaOutcome = typeof QuotaOutcomes[keyof typeof QuotaOutcomes]

export interface QuotaGateOptions {
  log: DecisionLog
  limits: TeamLimits
  onUnits: (team: string, outcome: QuotaOutcome, units: number) => void
}

interface AdmissionRequest {
  requestId: string | undefined
  team: Team | undefined
  /** Tokens declared by the request. */
  tokens: number | undefined
}

/** Quota units used by a request. */
export interface QuotaUse {
  /** Returns the units when the error says that the request never ran. */
  settle: (error: PulleystackError) => void
}

const NO_QUOTA_USE: QuotaUse = { settle: () => undefined }

/** Enforces the quotas of teams. Each request is counted once, however many attempts it takes. */
export class QuotaGate {
  constructor (private readonly opts: QuotaGateOptions) {}

  /** Rejects with RATE_EXCEEDED when the request exceeds the quota of its team. */
  async admit ({ requestId, team, tokens }: AdmissionRequest): Promise<QuotaUse> {
    if (!team?.quota) return NO_QUOTA_USE
    const { log, limits, onUnits } = this.opts
    const units = countUnits(team.quota, tokens)
    const verdict = await limits.acquire(team, units)
    if (!verdict.isGranted) {
      const retryAfterMs = Math.round(verdict.retryAfterMs)
      onUnits(team.name, QuotaOutcomes.REFUSED, units)
      log.record(DecisionKinds.QUOTA_REFUSED, { request: requestId, team: team.name, units, retryAfterMs })
      throw new PulleystackError('RATE_EXCEEDED', 'The request exceeds the quota of its team', { retryAfterSeconds: retryAfterMs / 1000 })
    }
    onUnits(team.name, QuotaOutcomes.GRANTED, units)
    const settle = (error: PulleystackError): void => {
      if (error.ran !== Ran.NO) return
      limits.release(team, units)
      onUnits(team.name, QuotaOutcomes.GIVEN_BACK, units)
    }
    return { settle }
  }
}
