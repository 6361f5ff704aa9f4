import type { Clock } from '@pulleystack/core.clock'
import { ExtraLoans } from './ExtraLoans.js'
import { RetryPermit } from './RetryPermit.js'

const BUCKETS_PER_WINDOW = 10
/** One more than a window has, so that the limit holds for windows that begin within a bucket. */
const ATTEMPT_BUCKETS = BUCKETS_PER_WINDOW + 1
/** Two windows, as the budget is based on the smallest count of any window that ended within the last one. */
const REQUEST_BUCKETS = 2 * BUCKETS_PER_WINDOW + 1

export interface WindowBudgetOptions {
  clock: Clock
  /** Retries earned per request. */
  ratio: number
  /** Additional retries per window, across all instances. */
  fixedAllowance: number
  windowMs: number
  /** Number of instances that share the budget. */
  countInstances: () => number
  /** Whether this process owns its share of `extra`; false while a previous process run may have used it. Default: always. */
  ownsShare?: () => boolean
  /** Whether requests earn retries; false while a previous process run may have spent those of the same window. Default: always. */
  mayEarn?: () => boolean
}

/** Snapshot of one instance's budget. */
export interface BudgetFacts {
  left: number
  /** This instance's current part of the fixed allowance. */
  extra: number
  instances: number
  /** Milliseconds since the budget was created. */
  lifeMs: number
}

/**
 * Limits one instance's retries of a service in any time window, so that all instances together stay within a common limit: a ratio of its own requests
 * plus its share of the fixed allowance, less what it has lent.
 *
 * The ratio applies to the smallest request count of any window that ended within the last window. Otherwise, clients that move to another instance
 * would be counted by both instances. 193 retries were made where 192 were allowed, after seven of eight instances had died. This costs 8 % of
 * the retries while everything fails, and the growth of one window while traffic grows.
 */
export class WindowBudget {
  private readonly requests = new Array<number>(REQUEST_BUCKETS).fill(0)
  private readonly attempts = new Array<number>(ATTEMPT_BUCKETS).fill(0)
  /** Permits that were issued and not used yet. */
  private reserved = 0
  private newestBucket = 0
  private readonly firstBucket: number
  private readonly startedAt: number
  private readonly loans: ExtraLoans

  constructor (private readonly opts: WindowBudgetOptions) {
    this.startedAt = opts.clock.readTime()
    this.firstBucket = this.updateBuckets()
    this.loans = new ExtraLoans(opts.clock)
  }

  /** Counts a client request. */
  recordRequest (): void {
    const bucket = this.updateBuckets() % REQUEST_BUCKETS
    this.requests[bucket] = (this.requests[bucket] ?? 0) + 1
  }

  /** Counts a retry that is made now; returns false when none is left. */
  take (): boolean {
    const bucket = this.updateBuckets() % ATTEMPT_BUCKETS
    if (this.left < 1) return false
    this.attempts[bucket] = (this.attempts[bucket] ?? 0) + 1
    return true
  }

  /** Reserves a retry that is made later; returns undefined when none is left. */
  reserve (): RetryPermit | undefined {
    if (this.left < 1) return undefined
    this.reserved++
    return new RetryPermit(() => this.reserved--, () => this.take())
  }

  /** Number of retries that are available now. */
  get left (): number {
    this.updateBuckets()
    const earningRequests = this.mayEarn ? this.countEarningRequests() : 0
    return this.opts.ratio * earningRequests + this.extra - sum(this.attempts) - this.reserved
  }

  /** An instance's equal share of the fixed allowance. */
  get share (): number {
    return Math.floor(this.opts.fixedAllowance / Math.max(1, this.opts.countInstances()))
  }

  /** What this instance lacks of its share, after loans. */
  get shortfall (): number {
    return this.ownsShare ? 0 : Math.max(0, this.share - this.loans.borrowedAmount)
  }

  /**
   * Lends up to half of what is left of this instance's share for at most `durationMs` milliseconds of use, and returns the amount lent. The loan is only
   * available here again a window later, so that no window contains attempts of both instances for it.
   */
  lend (amount: number, durationMs: number): number {
    const { windowMs } = this.opts
    const spare = this.ownsShare ? Math.min(this.left, this.share - this.loans.lentAmount) : 0
    const lent = Math.max(0, Math.min(Math.floor(amount), Math.ceil(Math.floor(spare) / 2)))
    if (lent > 0) this.loans.recordLent(lent, durationMs + windowMs * ATTEMPT_BUCKETS / BUCKETS_PER_WINDOW)
    return lent
  }

  /** Adds a loan from another instance that expires after `durationMs` milliseconds. */
  borrow (amount: number, durationMs: number): void {
    if (amount > 0) this.loans.recordBorrowed(amount, durationMs)
  }

  describe (): BudgetFacts {
    const { clock, countInstances } = this.opts
    return { left: this.left, extra: this.extra, instances: countInstances(), lifeMs: Math.round(clock.readTime() - this.startedAt) }
  }

  /** Smallest request count of any window that ended within the last window; windows that began before this budget are ignored. */
  private countEarningRequests (): number {
    const age = this.newestBucket - this.firstBucket
    const shifts = Math.max(0, Math.min(BUCKETS_PER_WINDOW, age - BUCKETS_PER_WINDOW + 1))
    let counted = 0
    for (let bucketAge = 0; bucketAge < BUCKETS_PER_WINDOW; bucketAge++) counted += this.readRequests(bucketAge)
    let fewest = counted
    for (let shift = 1; shift <= shifts; shift++) {
      counted += this.readRequests(shift + BUCKETS_PER_WINDOW - 1) - this.readRequests(shift - 1)
      fewest = Math.min(fewest, counted)
    }
    return fewest
  }

  /** Request count of the bucket that is `age` buckets older than the current one. */
  private readRequests (age: number): number {
    return this.newestBucket < age ? 0 : this.requests[(this.newestBucket - age) % REQUEST_BUCKETS] ?? 0
  }

  private get ownsShare (): boolean {
    return this.opts.ownsShare?.() ?? true
  }

  private get mayEarn (): boolean {
    return this.opts.mayEarn?.() ?? true
  }

  private get extra (): number {
    return this.ownsShare ? this.share - this.loans.lentAmount : this.loans.borrowedAmount
  }

  /** Clears expired buckets and returns the number of the current one. */
  private updateBuckets (): number {
    const current = Math.floor(this.opts.clock.readTime() / (this.opts.windowMs / BUCKETS_PER_WINDOW))
    for (let bucket = Math.max(this.newestBucket + 1, current - REQUEST_BUCKETS + 1); bucket <= current; bucket++) {
      this.requests[bucket % REQUEST_BUCKETS] = 0
      this.attempts[bucket % ATTEMPT_BUCKETS] = 0
    }
    this.newestBucket = Math.max(this.newestBucket, current)
    return current
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
