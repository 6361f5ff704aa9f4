/** A request that waits for a place, as admission sees it; monotone times in milliseconds. */
export interface Candidate {
  /** 0 is the most urgent class. */
  priority: number
  /** A place by then still makes its answer timely, counted from the client's first try. */
  dueAt: number
  /** A place after this serves nobody: the client has left or the deadline has passed before the answer is whole. */
  latestAt: number
}

/** Whether a place that comes now still makes the answer timely. */
export function isInTime (candidate: Candidate, now: number): boolean {
  return now <= candidate.dueAt
}

/**
 * Negative when `a` is to have the next place. The pattern is overload that lasts for seconds: with the earliest due first throughout, all are
 * served just too late. So the most urgent class comes first, in it whoever can still be in time, the earliest due first, and those who are late in any
 * case take what is left over, the one that leaves first before others.
 */
export function compareUrgency (a: Candidate, b: Candidate, now: number): number {
  const isLater = Number(!isInTime(a, now)) - Number(!isInTime(b, now))
  if (a.priority !== b.priority || isLater !== 0) return a.priority - b.priority || isLater
  return isInTime(a, now) ? a.dueAt - b.dueAt : a.latestAt - b.latestAt
}
