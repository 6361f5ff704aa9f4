import type { ServerCrash, Suspect } from './Suspect.js'
import { SuspectRule, Verdicts, type SuspectEvidence, type Verdict } from './SuspectRule.js'

/** Minimum number of successful runs per crash for a request to be trusted. */
const SUCCESSES_PER_CRASH = 10
/** Crashes during exclusive runs after which a request is rejected even if another suspect was running on the server each time. */
const MAX_EXCLUSIVE_CRASHES = 2
/** A rejected request may be tried again after this time, doubled for each further crash in an exclusive run, as the servers may have been fixed. */
const INITIAL_REJECTION_MS = 3_600_000

/**
 * Rejects a request only after it has crashed a server in an exclusive run with no other suspect on that server, or in two exclusive runs. A request that
 * many clients send, and whose servers crashed for another reason, gets one exclusive run and is cleared when that succeeds.
 */
export class ExclusiveRunRule extends SuspectRule {
  override judge (suspect: Suspect, evidence: SuspectEvidence): Verdict {
    const uncleared = suspect.listUncleared()
    if (uncleared.length === 0 || isTrusted(suspect)) return Verdicts.ALLOWED
    if (uncleared.length === 1) return Verdicts.TRACKED
    return isConfirmed(uncleared, evidence) && evidence.now < suspect.lastCrashAt + computeRejectionMs(uncleared) ? Verdicts.REJECTED : Verdicts.EXCLUSIVE
  }
}

function isTrusted (suspect: Suspect): boolean {
  return suspect.successes >= suspect.totalCrashes * SUCCESSES_PER_CRASH
}

function isConfirmed (uncleared: readonly ServerCrash[], evidence: SuspectEvidence): boolean {
  const exclusiveCrashes = uncleared.filter((crash) => crash.wasOnlyRun)
  return exclusiveCrashes.length >= MAX_EXCLUSIVE_CRASHES || exclusiveCrashes.some((crash) => !evidence.isShared(crash))
}

function computeRejectionMs (uncleared: readonly ServerCrash[]): number {
  const exclusiveCrashes = uncleared.filter((crash) => crash.wasOnlyRun).length
  return INITIAL_REJECTION_MS * 2 ** Math.max(0, exclusiveCrashes - 1)
}
