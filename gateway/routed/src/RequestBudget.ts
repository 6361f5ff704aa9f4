/** What the instance that handed a request on says of the time that it has used. */
export interface HopTime {
  /** Milliseconds from the arrival at the first instance until the request was sent here. */
  usedMs: number
  /** Milliseconds that the way here took; 0 when unknown. */
  hopMs: number
}

export interface RequestBudgetOptions {
  /** Monotonic time in milliseconds at which this instance read the head. */
  arrivedAt: number
  /** Milliseconds that the client waited when the request was sent here; undefined if it sets no limit. */
  waitMs: number | undefined
  /** Undefined for a request of a client. */
  hop?: HopTime | undefined
}

/**
 * The time that a request has over all instances that it passes. The instance that reads its head first starts it, and each further one continues it.
 * Every wait on the way to the final response ends at its deadline. Times are monotonic, in milliseconds.
 */
export class RequestBudget {
  /** Arrival at the first instance. */
  readonly startedAt: number
  /** Time after which the client no longer waits; undefined if it set no limit. */
  readonly clientDeadline: number | undefined
  private limitMs = Infinity

  constructor ({ arrivedAt, waitMs, hop = { usedMs: 0, hopMs: 0 } }: RequestBudgetOptions) {
    const sentAt = arrivedAt - hop.hopMs
    this.startedAt = sentAt - hop.usedMs
    this.clientDeadline = waitMs === undefined ? undefined : sentAt + waitMs
  }

  /** Milliseconds that the client waits from its arrival at the first instance; undefined if it set no limit. */
  get clientWaitMs (): number | undefined {
    return this.clientDeadline === undefined ? undefined : this.clientDeadline - this.startedAt
  }

  /** Time at which the request must have its final response. */
  get deadline (): number {
    return Math.min(this.startedAt + this.limitMs, this.clientDeadline ?? Infinity)
  }

  /** Applies the time limit of the request's route. */
  applyLimit (limitMs: number): void {
    this.limitMs = Math.min(this.limitMs, limitMs)
  }

  readUsedMs (now: number): number {
    return Math.max(0, now - this.startedAt)
  }

  readLeftMs (now: number): number {
    return Math.max(0, this.deadline - now)
  }
}
