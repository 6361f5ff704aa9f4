/** A request waiting for a slot. Times are monotonic, in milliseconds. */
export interface Candidate {
  /** 0 is the most urgent class. */
  priority: number
  /** Latest time to get a slot and still meet the latency target, counted from the client's first attempt. */
  dueAt: number
  /** Latest time at which a slot is of use: after it the client disconnects or the deadline passes before the response is complete. */
  expiresAt: number
}

/** Whether a slot acquired now would still meet the latency target. */
export function isWithinTarget (candidate: Candidate, now: number): boolean {
  return now <= candidate.dueAt
}

/**
 * Negative if `a` gets the next slot before `b`. Within a class, requests that can meet their latency target come first, in order of their due time,
 * since serving strictly by due time would make all of them late under overload. Overdue requests follow, the earliest to expire first.
 */
export function compareUrgency (a: Candidate, b: Candidate, now: number): number {
  const overdueOrder = Number(!isWithinTarget(a, now)) - Number(!isWithinTarget(b, now))
  if (a.priority !== b.priority || overdueOrder !== 0) return a.priority - b.priority || overdueOrder
  return isWithinTarget(a, now) ? a.dueAt - b.dueAt : a.expiresAt - b.expiresAt
}
