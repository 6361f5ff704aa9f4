/** A rate limit reported by a server, and the interval in which it was reported: monotonic times of this instance in milliseconds. */
export interface LimitReport {
  /** Requests per second from all instances together; undefined if the server advertises no limit. */
  perSecond: number | undefined
  reportedAfter: number
  reportedBefore: number
  /** The peer that received the report; undefined if this instance did. */
  receivedBy?: string | undefined
}

/**
 * The rate limit that a server advertises in its responses. Reports may arrive out of order: a report that is certainly newer replaces the current one,
 * and if the order is unknown the stricter limit applies.
 */
export class AdvertisedLimit {
  private current: LimitReport = { perSecond: undefined, reportedAfter: -Infinity, reportedBefore: -Infinity }

  /** Requests per second from all instances together; undefined if the server advertises no limit. */
  get perSecond (): number | undefined {
    return this.current.perSecond
  }

  /** The report that set the current limit. */
  get report (): Readonly<LimitReport> {
    return this.current
  }

  /** Returns whether the limit in force changed. */
  update (report: LimitReport): boolean {
    const { current } = this
    if (report.reportedBefore < current.reportedAfter) return false
    const previous = current.perSecond
    if (report.perSecond === previous) this.current = mergeTimes(current, report)
    else if (report.reportedAfter >= current.reportedBefore || isStricter(report.perSecond, previous)) this.current = report
    return this.perSecond !== previous
  }
}

/** Combines two reports of the same limit, keeping the later times. */
function mergeTimes (first: LimitReport, second: LimitReport): LimitReport {
  return { ...first, reportedAfter: Math.max(first.reportedAfter, second.reportedAfter), reportedBefore: Math.max(first.reportedBefore, second.reportedBefore) }
}

function isStricter (first: number | undefined, second: number | undefined): boolean {
  return (first ?? Infinity) < (second ?? Infinity)
}
