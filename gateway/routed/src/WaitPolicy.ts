import type { Policy } from '@pulleystack/config.settings'
import type { RoutedWork } from './RoutedWork.js'

/** Share of a request's whole time that it may wait here for a place; what is left is for its run and one more attempt. */
const DEADLINE_SHARE = 0.4
/** Share of the time after which a client gives a silent stream up; the rest is for the prompt, which is read before the first event. */
const PATIENCE_SHARE = 0.7
/**
 * Share of the latency target within which a new request gets a place or is told when to come back. The users count a request that was
 * refused within a quarter of its target and is then served in time for more than a late answer; the rest is for the way to the client.
 */
const EARLY_SHARE = 0.2
/** A place that comes within this share of the latency target still leaves the time to read the prompt. */
const IN_TIME_SHARE = 0.6

/** How long one request may wait here; in milliseconds since it arrived. */
export interface WaitBounds {
  /** Without a place by then it is refused and told when to come back. */
  refuseAfterMs: number
  /** Weights that come by then are waited for. */
  weightsWithinMs: number
  /** It never waits longer. */
  longestMs: number
}

/**
 * A new request that can't be served in time is better refused at once, so that its client comes back when there is a place. One that
 * was refused before waits as long as its client does.
 */
export function computeWaitBounds (work: RoutedWork, policy: Policy): WaitBounds {
  const { route } = work
  const wholeMs = work.deadline - work.arrivedAt
  const patienceMs = policy.patienceBound ? route.patienceMs ?? Infinity : Infinity
  const longestMs = Math.max(0, Math.min(wholeMs * DEADLINE_SHARE, patienceMs * PATIENCE_SHARE))
  if (!policy.earlyRefusal || !work.generation || work.isReturning) return { refuseAfterMs: longestMs, weightsWithinMs: longestMs, longestMs }
  return {
    refuseAfterMs: Math.min(longestMs, route.targetLatencyMs * EARLY_SHARE),
    weightsWithinMs: Math.min(longestMs, route.targetLatencyMs * IN_TIME_SHARE),
    longestMs,
  }
}
