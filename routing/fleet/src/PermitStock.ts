/** Rights to send one request each to a server that names a limit, as far as they are at hand at this instance. Times are monotone, in milliseconds. */
export class PermitStock {
  /** Until when each may be used, the soonest first. */
  private readonly untils: number[] = []
  /** When more are likely to be had; in the past when that isn't known. */
  expectedAt = -Infinity
  /** Whether more have been asked for, and the answer isn't there yet. */
  isAsking = false
  /** When it makes sense to ask again. */
  askAgainAt = -Infinity

  count (now: number): number {
    return this.untils.filter((until) => until > now).length
  }

  /** Uses one up; false when there is none. */
  take (now: number): boolean {
    const at = this.untils.findIndex((until) => until > now)
    if (at < 0) return false
    this.untils.splice(at, 1)
    return true
  }

  put (count: number, until: number): void {
    for (let at = 0; at < count; at++) this.untils.push(until)
    this.untils.sort((a, b) => a - b)
  }

  /** Drops those that can't be used any more; gives how many. */
  dropOverdue (now: number): number {
    const overdue = this.untils.findIndex((until) => until > now)
    return this.untils.splice(0, overdue < 0 ? this.untils.length : overdue).length
  }
}
