import type { ServerEnd, Suspect } from './Suspect.js'

/** How a request may run. */
export const Verdicts = {
  /** Like any other. */
  FREE: 'free',
  /** Apart from others where there is room; its runs are counted over all instances. */
  WATCHED: 'watched',
  /** Only while no other run of it is under way, and on a server without another suspect. */
  ALONE: 'alone',
  REFUSED: 'refused',
} as const
export type Verdict = typeof Verdicts[keyof typeof Verdicts]

/** What a rule may look at beside the request itself. */
export interface SuspectEvidence {
  /** Whether another request, with ends elsewhere too, was there when this server ended. */
  isShared: (end: ServerEnd) => boolean
  /** Monotone time. */
  now: number
}

/** Decides whether a request under which servers ended may run again. */
export abstract class SuspectRule {
  abstract judge (suspect: Suspect, evidence: SuspectEvidence): Verdict
}
