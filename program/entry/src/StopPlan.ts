/** Clients may keep an old list for three of its lifetimes. */
const LIFETIMES = 3
/** Time before the end in which nothing new is begun. */
const FINISH_MS = 3_400
/** The process ends so long before the grace time does. */
const LAST_MS = 500
/** Work that may outlast the grace time is begun for so long after the request to stop, as clients still come with old lists. */
const LONG_WORK_MS = 2_750

export interface StopPlanOptions {
  /** Monotone time of the request to stop. */
  startedAt: number
  graceMs: number
  /** Milliseconds for which clients may keep the list of addresses. */
  directoryLifetimeMs: number
}

/** What a stopping instance still begins, and when it ends; all times are monotone. */
export class StopPlan {
  constructor (private readonly opts: StopPlanOptions) {}

  get startedAt (): number {
    return this.opts.startedAt
  }

  /** Clients no longer come with an old list, or what they bring could not be finished. */
  get servesUntil (): number {
    const { startedAt, graceMs, directoryLifetimeMs } = this.opts
    return startedAt + Math.min(directoryLifetimeMs * LIFETIMES, graceMs - FINISH_MS)
  }

  /** Requests that still wait for a place by then go to another instance, which may have more time for them. */
  get waitsUntil (): number {
    return Math.min(this.servesUntil, this.opts.startedAt + LONG_WORK_MS)
  }

  get endsAt (): number {
    return this.opts.startedAt + this.opts.graceMs - LAST_MS
  }

  /** Whether a request that may last until its deadline may begin; one that would be cut at the end is better refused. */
  mayStart (now: number, deadline: number): boolean {
    if (now >= this.servesUntil) return false
    return now < this.startedAt + LONG_WORK_MS || deadline <= this.endsAt
  }
}
