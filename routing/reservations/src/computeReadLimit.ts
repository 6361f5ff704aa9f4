import type { PaceEstimate } from '@pulleystack/routing.pace'

/** Share of the longest allowed pause that prompt processing may take; the rest covers scatter of the server's steps and the network. */
const PAUSE_SHARE = 0.8
/** Events of an average batch that must fit into the pause beside the prompts: the one before them and the one after. */
const EVENTS_PER_PAUSE = 2
/** The limit of a server whose events alone take the longest pause; a lower one would leave it idle between short prompts. */
export const MIN_READ_LIMIT = 256

/** Prompt tokens that may be queued at a server at a time such that its streams continue within the pause; infinite without one. */
export function computeReadLimit ({ tokensPerMs, eventMs }: PaceEstimate, longestPauseMs: number | undefined): number {
  if (longestPauseMs === undefined) return Infinity
  return Math.max(MIN_READ_LIMIT, (longestPauseMs * PAUSE_SHARE - EVENTS_PER_PAUSE * eventMs) * tokensPerMs)
}
