import type { Crash } from './Crash.js'
import type { CrashEvidence } from './SuspectRule.js'

/** Time after its newest crash for which a convicted set of traits is rejected; doubled for each further crash of an exclusive run. */
const INITIAL_REJECTION_MS = 60_000
const MAX_REJECTION_MS = 3_600_000
/** Time after a crash in which other instances report what else was running on the server. */
const SETTLE_MS = 250
/** Crashes of exclusive runs that convict even if another suspect was running on the server each time. */
const MAX_CONTESTED_CRASHES = 2

/** Traits of which at least one crashes servers: all of them were in requests whose exclusive runs crashed one, and none was cleared since. */
export interface Conviction {
  traits: readonly string[]
  /** Monotonic times in milliseconds between which requests with all of these traits are rejected. */
  from: number
  until: number
}

/** Groups the crashes of exclusive runs by the traits that may have caused them. */
export function findConvictions (evidence: CrashEvidence): Conviction[] {
  const groups = new Map<string, { traits: string[], crashes: Crash[] }>()
  for (const crash of evidence.listExclusive()) {
    const traits = listIncriminated(crash, evidence)
    const key = traits.join('\n')
    const group = groups.get(key) ?? { traits, crashes: [] }
    group.crashes.push(crash)
    groups.set(key, group)
  }
  return [...groups.values()]
    .filter(({ traits, crashes }) => traits.length > 0 && isProven(crashes, evidence))
    .map(({ traits, crashes }) => ({ traits, ...computeSpan(crashes) }))
}

/** Charged traits that other requests whose servers crashed have too; the identity if there are none. */
function listIncriminated (crash: Crash, evidence: CrashEvidence): string[] {
  const common = crash.listCharged().filter((trait) => isCommon(trait, crash, evidence)).sort()
  if (common.length > 0) return common
  return crash.isCharged(crash.identity) ? [crash.identity] : []
}

function isProven (crashes: readonly Crash[], evidence: CrashEvidence): boolean {
  return crashes.length >= MAX_CONTESTED_CRASHES || crashes.some((crash) => !isContested(crash, evidence))
}

/** Whether another request that was running on the server may have caused the crash, by a trait that it has in common with other crashes. */
function isContested (crash: Crash, evidence: CrashEvidence): boolean {
  const isSuspicious = (trait: string, other: Crash): boolean => other.readDepth(trait) > 1 || isCommon(trait, other, evidence)
  return evidence.listBeside(crash).some((other) => other.listCharged().some((trait) => !crash.isCharged(trait) && isSuspicious(trait, other)))
}

/** Whether servers also crashed during other requests with the trait. */
function isCommon (trait: string, crash: Crash, evidence: CrashEvidence): boolean {
  return evidence.listCrashes(trait).some(({ identity }) => identity !== crash.identity)
}

function computeSpan (crashes: readonly Crash[]): Pick<Conviction, 'from' | 'until'> {
  const newestAt = Math.max(...crashes.map(({ at }) => at))
  const rejectionMs = Math.min(MAX_REJECTION_MS, INITIAL_REJECTION_MS * 2 ** (crashes.length - 1))
  return { from: newestAt + SETTLE_MS, until: newestAt + rejectionMs }
}
