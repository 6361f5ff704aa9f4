import type { ServerCrash, Suspect } from './Suspect.js'

/** Whether and how a request may run. */
export const Verdicts = {
  /** Without restrictions. */
  ALLOWED: 'free',
  /** Preferably on a server without other suspects; its runs are counted across all instances. */
  TRACKED: 'watched',
  /** Only while no other run of it is in progress, and on a server without another suspect. */
  EXCLUSIVE: 'alone',
  REJECTED: 'refused',
} as const
export type Verdict = typeof Verdicts[keyof typeof Verdicts]

/** What a rule may consider besides the request itself. */
export interface SuspectEvidence {
  /** Whether another request with more than one uncleared crash was running on the server when it crashed. */
  isShared: (crash: ServerCrash) => boolean
  /** Monotonic time in milliseconds. */
  now: number
}

/** Decides whether a request during which servers crashed may run again. */
export abstract class SuspectRule {
  abstract judge (suspect: Suspect, evidence: SuspectEvidence): Verdict
}
