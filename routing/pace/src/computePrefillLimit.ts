import type { PaceEstimate } from './PaceEstimate.js'

/** Share of the longest pause in which the next event has to arrive; the rest covers the way to the client. */
const PAUSE_SHARE = 0.8
/** Event times that a pause contains besides the prefill: of the event before the prompts were accepted, and of the one after. */
const EVENTS_PER_PAUSE = 2
/** Below this many tokens even the shortest prompts would wait for each other. */
const MIN_LIMIT = 256

/** Returns the prompt tokens that may be unprocessed at a server such that its streams pause for at most `longestPauseMs`. */
export function computePrefillLimit ({ tokensPerMs, eventMs }: PaceEstimate, longestPauseMs: number): number {
  return Math.max(MIN_LIMIT, (longestPauseMs * PAUSE_SHARE - EVENTS_PER_PAUSE * eventMs) * tokensPerMs)
}
