import type { ServerEnd, Suspect } from './Suspect.js'
import { SuspectRule, Verdicts, type SuspectEvidence, type Verdict } from './SuspectRule.js'

/** So many good ends for each server that ended show that the request was only there; one that ends servers has none. */
const GOOD_ENDS_PER_END = 10
/** Ends in runs that were the only ones of the request, after which it is refused even if another suspect was there each time. */
const MOST_ONLY_RUNS = 2
/** A refused request is tried again after so long, twice as long each time: what ended servers may have been mended in them. */
const FIRST_REFUSAL_MS = 3_600_000

/**
 * Takes a request for guilty only after a run of its own, the only one at its time, has ended a server where no other suspect was. Whatever comes one at
 * a time ends two servers, and three at the most where the suspects can't be kept apart. One that is asked many times at once ends those that ran it
 * before anybody knew, and one or two more. A request that many ask, whose servers were lost together, is tried once and goes free by its good end.
 */
export class LoneRunRule extends SuspectRule {
  override judge (suspect: Suspect, evidence: SuspectEvidence): Verdict {
    const open = suspect.listOpen()
    if (open.length === 0 || isTrusted(suspect)) return Verdicts.FREE
    if (open.length === 1) return Verdicts.WATCHED
    return isProven(open, evidence) && evidence.now < suspect.endedAt + computeRefusalMs(open) ? Verdicts.REFUSED : Verdicts.ALONE
  }
}

function isTrusted (suspect: Suspect): boolean {
  return suspect.goodEnds >= suspect.totalEnds * GOOD_ENDS_PER_END
}

function isProven (open: readonly ServerEnd[], evidence: SuspectEvidence): boolean {
  const onlyRuns = open.filter((end) => end.wasOnlyRun)
  return onlyRuns.length >= MOST_ONLY_RUNS || onlyRuns.some((end) => !evidence.isShared(end))
}

function computeRefusalMs (open: readonly ServerEnd[]): number {
  const onlyRuns = open.filter((end) => end.wasOnlyRun).length
  return FIRST_REFUSAL_MS * 2 ** Math.max(0, onlyRuns - 1)
}
