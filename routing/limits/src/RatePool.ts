import type { Clock } from '@pulleystack/core.clock'

/** Time constant of the decay by which contributing instances are counted; covers two rounds of contributions. */
const CONTRIBUTION_DECAY_MS = 500
/** Compensates for the decay between two rounds of contributions: at the end of a round a pool sees up to so much less of them. */
const ROUND_MARGIN = 1.3
/** Minimum capacity of a pool in milliseconds of its rate, for rates without burst. */
const MIN_CAPACITY_MS = 250
/** A pool that was not used for this long may be removed. */
const IDLE_TIMEOUT_MS = 60_000

/** Rate that all instances share. */
export interface PooledRate {
  ratePerSecond: number
  /** Units that may be taken at once after an idle period. */
  burst: number
}

/** Tolerance by which all instances together may exceed a rate. */
export interface RateBounds {
  windowMs: number
  /** Share of the rate by which a window may exceed it. */
  toleranceShare: number
  /** Additional units by which a window may exceed the rate. */
  toleranceUnits: number
}

/** Result of a request for units. */
export type RateVerdict =
  | { isGranted: true }
  /** Over the rate; `retryAfterMs` is the estimated time until the units are available. */
  | { isGranted: false, retryAfterMs: number }

/** Number of units granted, and the estimated time until more are available. */
export interface RateGrant {
  granted: number
  retryAfterMs: number
}

/** Share of the tolerance that is added to the rate, to compensate for failed instances and lost messages. */
const RATE_MARGIN_SHARE = 0.25
/** Share of `toleranceUnits` by which one pool may be overdrawn, so that several pools created in one window stay within it together. */
const OVERDRAFT_SHARE = 0.25

/**
 * One instance's token bucket for a shared rate. It is refilled by time that instances contribute: each instance contributes the elapsed time to one pool
 * only, so all pools of a rate together never exceed it, even during network partitions. Capacity and overdraft scale with the share of instances that
 * contribute; a new pool is empty.
 *
 * In a window of W ms all pools grant at most rate x (1 + toleranceShare / 4) x (W + 500 ms) + 1.3 x (burst + toleranceUnits / 4) units, where
 * 500 ms is the time that instances may hold back when it begins. `takeUpTo` may grant one unit more.
 */
export class RatePool {
  private level = 0
  /** Recently contributed milliseconds of all instances, with exponential decay. */
  private contributedMs = 0
  private decayedAt: number
  /** Units promised to rejected requests, so that their retries are spread over time. */
  private promisedUnits = 0
  private lastUsedAt: number

  constructor (private readonly opts: { clock: Clock, bounds: RateBounds, countInstances: () => number }, private rate: PooledRate) {
    this.decayedAt = opts.clock.readTime()
    this.lastUsedAt = this.decayedAt
  }

  /** Whether nothing was added or taken within `IDLE_TIMEOUT_MS`. */
  get isIdle (): boolean {
    return this.opts.clock.readTime() - this.lastUsedAt > IDLE_TIMEOUT_MS
  }

  /** Changes the rate; units beyond the capacity at a lower rate are discarded. */
  setRate (rate: PooledRate): void {
    this.rate = rate
  }

  /** Adds time contributed by instances, in milliseconds. */
  addTime (instanceMs: number): void {
    this.applyDecay()
    this.contributedMs += instanceMs
    const units = this.refillPerMs * instanceMs / this.opts.countInstances()
    this.promisedUnits = Math.max(0, this.promisedUnits - units)
    this.level = Math.min(this.capacity, this.level + units)
  }

  /** Takes units for one request, which may overdraw the pool. */
  take (units: number): RateVerdict {
    this.applyDecay()
    this.level = Math.min(this.level, this.capacity)
    if (this.level > 0 && this.level + this.overdraft >= units) {
      this.level -= units
      return { isGranted: true }
    }
    const retryAfterMs = this.estimateWait(units)
    // No request waits longer than a window, so units promised beyond it are never claimed.
    this.promisedUnits = Math.min(this.promisedUnits + units, this.refillPerMs * this.opts.bounds.windowMs)
    return { isGranted: false, retryAfterMs }
  }

  /** Takes at most `max` whole units; the last one may overdraw the pool by less than one unit. */
  takeUpTo (max: number): RateGrant {
    this.applyDecay()
    this.level = Math.min(this.level, this.capacity)
    const granted = Math.max(0, Math.min(max, Math.ceil(this.level)))
    this.level -= granted
    return { granted, retryAfterMs: Math.max(0, -this.level) / this.poolRefillPerMs }
  }

  /** Returns the units of a request that did not run. */
  release (units: number): void {
    this.level = Math.min(this.capacity, this.level + units)
  }

  /** Milliseconds until units are available, after those already promised. */
  private estimateWait (units: number): number {
    const missing = Math.max(0, units - this.overdraft - this.level) + this.promisedUnits
    return missing / this.poolRefillPerMs
  }

  private get refillPerMs (): number {
    return this.rate.ratePerSecond / 1000 * (1 + this.opts.bounds.toleranceShare * RATE_MARGIN_SHARE)
  }

  /** Refill rate of this pool; positive, as it is used as a divisor. */
  private get poolRefillPerMs (): number {
    return Math.max(this.refillPerMs * this.share, Number.MIN_VALUE)
  }

  /** Share of all instances that contribute to this pool. */
  private get share (): number {
    return Math.min(1, ROUND_MARGIN * this.contributedMs / CONTRIBUTION_DECAY_MS / this.opts.countInstances())
  }

  private get capacity (): number {
    return this.share * Math.max(this.rate.burst, this.rate.ratePerSecond / 1000 * MIN_CAPACITY_MS)
  }

  private get overdraft (): number {
    return this.share * this.opts.bounds.toleranceUnits * OVERDRAFT_SHARE
  }

  private applyDecay (): void {
    const now = this.opts.clock.readTime()
    this.contributedMs *= Math.exp((this.decayedAt - now) / CONTRIBUTION_DECAY_MS)
    this.decayedAt = now
    this.lastUsedAt = now
  }
}
