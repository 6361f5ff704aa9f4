import { isInTime, type Candidate } from './compareUrgency.js'
import type { WaitEstimate } from './estimateWaits.js'

/** Whether a request goes on waiting; one that does not hears when a place would likely have come. */
export type WaitVerdict =
  | { mayWait: true }
  | { mayWait: false, expectedMs: number }

/**
 * A request waits as long as it will likely be served, in time or late. As soon as it is known that it can't be, it is refused: a wait in vain
 * costs its client more the longer it lasts.
 */
export function judgeWait (candidate: Candidate, estimate: WaitEstimate, now: number): WaitVerdict {
  const isTimely = isInTime(candidate, now) && now + estimate.inTimeMs <= candidate.dueAt
  if (isTimely || now + estimate.lateMs <= candidate.latestAt) return { mayWait: true }
  return { mayWait: false, expectedMs: estimate.lateMs }
}
