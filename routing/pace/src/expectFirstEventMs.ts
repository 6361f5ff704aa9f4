import type { PaceEstimate } from './PaceEstimate.js'

/** Expects the milliseconds until the first event of a request: the prefill of the prompts ahead and of its own, and one event. */
export function expectFirstEventMs ({ estimate, aheadTokens, readTokens }: { estimate: PaceEstimate, aheadTokens: number, readTokens: number }): number {
  return (aheadTokens + readTokens) / estimate.tokensPerMs + estimate.eventMs
}
