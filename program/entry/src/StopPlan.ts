/** Clients may use an address list for up to three of its lifetimes. */
const MAX_LIST_LIFETIMES = 3
/** Final part of the grace period, in which no new requests start. */
const FINISH_PERIOD_MS = 3_400
/** Time between the end of the plan and the end of the grace period. */
const EXIT_MARGIN_MS = 500
/** Requests that may outlast the grace period are accepted this long after the stop request, for clients with an old address list. */
const LONG_REQUEST_PERIOD_MS = 2_750

export interface StopPlanOptions {
  /** Monotonic time of the stop request. */
  startedAt: number
  graceMs: number
  /** How long clients may cache the address list, in milliseconds. */
  directoryLifetimeMs: number
}

/** Schedule of a planned stop: which requests still start, and when it ends. All times are monotonic. */
export class StopPlan {
  constructor (private readonly opts: StopPlanOptions) {}

  get startedAt (): number {
    return this.opts.startedAt
  }

  /** No new requests start from now on: old address lists have expired, or the requests could not finish in time. */
  get servesUntil (): number {
    const { startedAt, graceMs, directoryLifetimeMs } = this.opts
    return startedAt + Math.min(directoryLifetimeMs * MAX_LIST_LIFETIMES, graceMs - FINISH_PERIOD_MS)
  }

  /** Requests still queued at this time are passed to another instance, which may have more time for them. */
  get waitsUntil (): number {
    return Math.min(this.servesUntil, this.opts.startedAt + LONG_REQUEST_PERIOD_MS)
  }

  get endsAt (): number {
    return this.opts.startedAt + this.opts.graceMs - EXIT_MARGIN_MS
  }

  /** Whether a request with this deadline may start; one that would be aborted at the end of the stop is rejected instead. */
  mayStart (now: number, deadline: number): boolean {
    if (now >= this.servesUntil) return false
    return now < this.startedAt + LONG_REQUEST_PERIOD_MS || deadline <= this.endsAt
  }
}
