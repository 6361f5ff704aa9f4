import type { PaceSample, SharedPace } from './PaceSample.js'

/** No accelerator prefills faster than the upper bound, and none that is in use slower than the lower one, in prompt tokens per millisecond. */
const MIN_TOKENS_PER_MS = 0.05
const MAX_TOKENS_PER_MS = 2_000
/** Clients abandon a stream long before a pause of this length. */
const MAX_EVENT_MS = 60_000

export function isPossiblePace (tokensPerMs: number): boolean {
  return tokensPerMs >= MIN_TOKENS_PER_MS && tokensPerMs <= MAX_TOKENS_PER_MS
}

/** Whether the numbers of a sample are possible on their own. */
export function isPossibleSample ({ readTokens, aheadTokens, firstEventMs, events, eventMs, running }: PaceSample): boolean {
  if (![readTokens, aheadTokens, events, running].every(isCount) || !isPositive(firstEventMs)) return false
  return events === 0 || (isPositive(eventMs) && eventMs <= MAX_EVENT_MS)
}

/** Whether a value received from a peer is a possible pace. An event time of 0 means that none was measured. */
export function isPossibleShared (shared: unknown): shared is SharedPace {
  if (!Array.isArray(shared) || shared.length !== 4 || !shared.every(isCount)) return false
  const [tokensPerMs, eventMs, samples] = shared as unknown as SharedPace
  return isPossiblePace(tokensPerMs) && eventMs <= MAX_EVENT_MS && samples >= 1
}

function isCount (value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

function isPositive (value: number): boolean {
  return isCount(value) && value > 0
}
