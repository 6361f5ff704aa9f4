import type { Clock } from '@pulleystack/core.clock'
import { ExtraLoans } from './ExtraLoans.js'
import { RetryPermit } from './RetryPermit.js'

const BUCKETS = 10
/** Attempts count for one bucket longer than requests, so that no window, wherever it begins, holds more than it may. */
const KEPT = BUCKETS + 1
/** Requests of two windows are remembered, since what earns is the least that came in any window of the last one. */
const KEPT_REQUESTS = 2 * BUCKETS + 1

export interface WindowBudgetOptions {
  clock: Clock
  /** Further attempts for each request. */
  ratio: number
  /** Further attempts beside those, in one window, over all instances. */
  extra: number
  windowMs: number
  /** Instances that draw on the same budget. */
  countInstances: () => number
  /** Whether the part of the extra is this instance's own, and not still what a former life of it may have spent; always when left out. */
  ownsPart?: () => boolean
  /** Whether requests earn further attempts, and a former life may not have spent what came to the same window; always when left out. */
  mayEarn?: () => boolean
}

/** What one instance's budget stands on at a moment. */
export interface BudgetFacts {
  left: number
  /** What this instance may spend of the fixed extra. */
  extra: number
  instances: number
  /** Milliseconds since the budget was first asked for. */
  lifeMs: number
}

/**
 * Further attempts that one instance may cause at a service in any window of time, so that all instances together stay
 * within a common bound: a share of its own requests and its part of the fixed extra, less what it has lent of that.
 *
 * Instances spend their last at different moments, and one that died spends no more. Counting the requests of its own last window, each would count
 * other ones, and those of clients that went from one instance to another twice: 193 attempts were made where 192 were allowed, when seven of eight
 * instances had died. So requests earn by the window of the last one that held the fewest: whatever window of attempts is looked at, all instances then
 * count no more than came in the window before it. Callers lose 8 % of all further attempts while everything fails (488 for 534 in 30 s at 60 requests
 * a second, 8 instances), and while traffic grows its growth of 10 s.
 */
export class WindowBudget {
  private readonly requests = new Array<number>(KEPT_REQUESTS).fill(0)
  private readonly attempts = new Array<number>(KEPT).fill(0)
  /** Rights that were given out and not used yet. */
  private reserved = 0
  private newest = 0
  private readonly firstBucket: number
  private readonly startedAt: number
  private readonly loans: ExtraLoans

  constructor (private readonly opts: WindowBudgetOptions) {
    this.startedAt = opts.clock.readTime()
    this.firstBucket = this.turn()
    this.loans = new ExtraLoans(opts.clock)
  }

  /** Counts a request of a client. */
  noteRequest (): void {
    const bucket = this.turn() % KEPT_REQUESTS
    this.requests[bucket] = (this.requests[bucket] ?? 0) + 1
  }

  /** Takes the right to one further attempt that is made now; false when there is none. */
  take (): boolean {
    const bucket = this.turn() % KEPT
    if (this.left < 1) return false
    this.attempts[bucket] = (this.attempts[bucket] ?? 0) + 1
    return true
  }

  /** Keeps the right to one further attempt that is made later; undefined when there is none. */
  reserve (): RetryPermit | undefined {
    if (this.left < 1) return undefined
    this.reserved++
    return new RetryPermit(() => this.reserved--, () => this.take())
  }

  /** Further attempts that could be taken now. */
  get left (): number {
    this.turn()
    const earning = this.mayEarn ? this.countEarning() : 0
    return this.opts.ratio * earning + this.extra - sum(this.attempts) - this.reserved
  }

  /** An instance's part of the fixed extra when all have theirs. */
  get part (): number {
    return Math.floor(this.opts.extra / Math.max(1, this.opts.countInstances()))
  }

  /** What this instance lacks of its part. */
  get missing (): number {
    return this.ownsPart ? 0 : Math.max(0, this.part - this.loans.borrowedAmount)
  }

  /**
   * Lends up to half of what is left of the own part to an instance that uses it for so long at the most; gives what was lent. It comes back a window
   * later, so that no window holds both instances' attempts for it.
   */
  lend (amount: number, forMs: number): number {
    const { windowMs } = this.opts
    const spare = this.ownsPart ? Math.min(this.left, this.part - this.loans.lentAmount) : 0
    const lent = Math.max(0, Math.min(Math.floor(amount), Math.ceil(Math.floor(spare) / 2)))
    if (lent > 0) this.loans.noteLent(lent, forMs + windowMs * KEPT / BUCKETS)
    return lent
  }

  /** Adds what another instance has lent for so long. */
  borrow (amount: number, forMs: number): void {
    if (amount > 0) this.loans.noteBorrowed(amount, forMs)
  }

  /** What decides about the next further attempt. */
  describe (): BudgetFacts {
    const { clock, countInstances } = this.opts
    return { left: this.left, extra: this.extra, instances: countInstances(), lifeMs: Math.round(clock.readTime() - this.startedAt) }
  }

  /** The fewest requests of any window of the last one; windows that began before this budget say nothing. */
  private countEarning (): number {
    const age = this.newest - this.firstBucket
    const shifts = Math.max(0, Math.min(BUCKETS, age - BUCKETS + 1))
    let counted = 0
    for (let back = 0; back < BUCKETS; back++) counted += this.readRequests(back)
    let least = counted
    for (let shift = 1; shift <= shifts; shift++) {
      counted += this.readRequests(shift + BUCKETS - 1) - this.readRequests(shift - 1)
      least = Math.min(least, counted)
    }
    return least
  }

  /** Requests of the bucket so many before that of now. */
  private readRequests (back: number): number {
    return this.newest < back ? 0 : this.requests[(this.newest - back) % KEPT_REQUESTS] ?? 0
  }

  private get ownsPart (): boolean {
    return this.opts.ownsPart?.() ?? true
  }

  private get mayEarn (): boolean {
    return this.opts.mayEarn?.() ?? true
  }

  private get extra (): number {
    return this.ownsPart ? this.part - this.loans.lentAmount : this.loans.borrowedAmount
  }

  /** Empties the buckets whose time has passed; gives the number of the one of now. */
  private turn (): number {
    const now = Math.floor(this.opts.clock.readTime() / (this.opts.windowMs / BUCKETS))
    for (let at = Math.max(this.newest + 1, now - KEPT_REQUESTS + 1); at <= now; at++) {
      this.requests[at % KEPT_REQUESTS] = 0
      this.attempts[at % KEPT] = 0
    }
    this.newest = Math.max(this.newest, now)
    return now
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
