import type { Crash } from './Crash.js'
import { findConvictions, type Conviction } from './findConvictions.js'
import { listAllTraits, type RequestTraits } from './RequestTraits.js'
import { SuspectRule, Verdicts, type CrashEvidence, type Verdict } from './SuspectRule.js'

/** Crashes in a row from which a trait gets exclusive runs only. */
const EXCLUSIVE_DEPTH = 2
/** Servers that crashed, even at the same time, from which a shared trait gets exclusive runs only. */
const EXCLUSIVE_SERVERS = 3
/** The same for a whole request, of which fewer others are held back. */
const EXCLUSIVE_SERVERS_OF_REQUEST = 2

/** A trait of a request and the crashes that it may have caused. */
interface Accusation {
  trait: string
  crashes: readonly Crash[]
}

/**
 * Rejects requests with traits that crashed a server in an exclusive run, unless those traits have been cleared since. A request that has only some of the
 * traits that may have caused the crash gets an exclusive run, which clears them or shows which of them it was.
 */
export class ExclusiveRunRule extends SuspectRule {
  private found: { version: number, convictions: readonly Conviction[] } | undefined

  override judge (request: RequestTraits, evidence: CrashEvidence): Verdict {
    const traits = listAllTraits(request)
    const accused = traits.map((trait) => ({ trait, crashes: evidence.listCrashes(trait) })).filter(({ crashes }) => crashes.length > 0)
    if (accused.length === 0) return Verdicts.ALLOWED
    const convictions = this.listConvictions(evidence)
    const matching = convictions.filter((conviction) => conviction.traits.every((trait) => traits.includes(trait)))
    if (matching.length > 0) return judgeConvicted(matching, evidence.now)
    const unexplained = accused
      .map(({ trait, crashes }) => ({ trait, crashes: crashes.filter((crash) => !isExplained(crash, evidence, convictions)) }))
      .filter(({ crashes }) => crashes.length > 0)
    if (unexplained.length === 0) return Verdicts.ALLOWED
    return unexplained.some((it) => isSuspicious(it, request)) ? Verdicts.EXCLUSIVE : Verdicts.TRACKED
  }

  private listConvictions (evidence: CrashEvidence): readonly Conviction[] {
    if (this.found?.version !== evidence.version) this.found = { version: evidence.version, convictions: findConvictions(evidence) }
    return this.found.convictions
  }
}

function judgeConvicted (convictions: readonly Conviction[], now: number): Verdict {
  if (convictions.some(({ from, until }) => now >= from && now < until)) return Verdicts.REJECTED
  return convictions.some(({ from }) => now < from) ? Verdicts.UNDECIDED : Verdicts.EXCLUSIVE
}

function isSuspicious ({ trait, crashes }: Accusation, { identity }: RequestTraits): boolean {
  if (crashes.some((crash) => crash.readDepth(trait) >= EXCLUSIVE_DEPTH)) return true
  const servers = new Set(crashes.map(({ life }) => life)).size
  return servers >= (trait === identity ? EXCLUSIVE_SERVERS_OF_REQUEST : EXCLUSIVE_SERVERS)
}

/** Whether a convicted request ran on the server when it crashed, beside the one of this record. */
function isExplained (crash: Crash, evidence: CrashEvidence, convictions: readonly Conviction[]): boolean {
  if (convictions.length === 0) return false
  const isConvicted = (it: Crash): boolean => convictions.some(({ traits }) => traits.every((trait) => it.isCharged(trait)))
  return !isConvicted(crash) && evidence.listBeside(crash).some(isConvicted)
}
