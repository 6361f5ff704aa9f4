import type { Crash } from './Crash.js'
import type { RequestTraits } from './RequestTraits.js'

/** Whether and how a request may run. */
export const Verdicts = {
  /** Without restrictions. */
  ALLOWED: 'free',
  /** Preferably on a server without other suspects. */
  TRACKED: 'watched',
  /** Only while no other run of its suspected trait is in progress, and on a server without another suspect. */
  EXCLUSIVE: 'alone',
  /** Not until other instances have reported what else was running on the server that crashed last. */
  UNDECIDED: 'undecided',
  REJECTED: 'refused',
} as const
export type Verdict = typeof Verdicts[keyof typeof Verdicts]

/** Crashes that are on record, by traits. */
export interface CrashEvidence {
  /** Crashes that the trait may have caused. */
  listCrashes: (trait: string) => readonly Crash[]
  /** Crashes of exclusive runs. */
  listExclusive: () => readonly Crash[]
  /** Crashes of the same server during other requests. */
  listBeside: (crash: Crash) => readonly Crash[]
  /** Incremented with each change. */
  version: number
  /** Monotonic time in milliseconds. */
  now: number
}

/** Decides whether a request may run when servers crashed during requests that share traits with it. */
export abstract class SuspectRule {
  abstract judge (request: RequestTraits, evidence: CrashEvidence): Verdict
}
