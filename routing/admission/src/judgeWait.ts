import { isWithinTarget, type Candidate } from './compareUrgency.js'
import type { WaitEstimate } from './estimateWaits.js'

/** Whether a request keeps waiting; if not, after how many milliseconds a slot is expected. */
export type WaitDecision =
  | { mayWait: true }
  | { mayWait: false, expectedMs: number }

/**
 * A request waits while it will likely be served, within its latency target or overdue. It is rejected as soon as that is ruled out, since a longer wait
 * only costs the client more.
 */
export function judgeWait (candidate: Candidate, estimate: WaitEstimate, now: number): WaitDecision {
  const meetsTarget = isWithinTarget(candidate, now) && now + estimate.withinTargetMs <= candidate.dueAt
  if (meetsTarget || now + estimate.overdueMs <= candidate.expiresAt) return { mayWait: true }
  return { mayWait: false, expectedMs: estimate.overdueMs }
}
