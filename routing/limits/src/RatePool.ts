import type { Clock } from '@pulleystack/core.clock'

/** Time over which the instances that bring time to a pool are counted; long enough for two rounds of news, short enough that a new pool is soon whole. */
const BROUGHT_MS = 500
/** What is brought comes in rounds, so that a pool of all instances sees up to so much less of them at the end of a round. */
const ROUND_MARGIN = 1.3
/** Least size of a full pool, in milliseconds of its rate, for rates without burst. */
const LEAST_POOL_MS = 250
/** A pool to which nobody brings time and from which nobody takes for so long is not needed any more. */
const IDLE_MS = 60_000

/** Units that all instances together may use. */
export interface PooledRate {
  ratePerSecond: number
  /** Units that may come at once after a rest. */
  burst: number
}

/** How far all instances together may go over a rate. */
export interface RateBounds {
  windowMs: number
  /** Share by which a window may go over. */
  over: number
  /** Units by which a window may go over beside that. */
  slack: number
}

/** What becomes of one request for units. */
export type RateVerdict =
  | { isGranted: true }
  /** Over the rate; `retryAfterMs` is when it will likely be inside. */
  | { isGranted: false, retryAfterMs: number }

/** Units that were given out of those that were asked for, and when there will likely be more. */
export interface RateGrant {
  granted: number
  retryAfterMs: number
}

/** Share of what a window may go over by which time earns more than the rate: it makes up for instances that are gone and for lost messages. */
const OVER_SHARE = 0.25
/** Share of the slack that one pool may be overdrawn by, so that pools that begin anew in one window stay within it together. */
const OVERDRAFT_SHARE = 0.25

/**
 * The units of one rate that are at hand at one instance. Time is what fills it: each instance earns as many milliseconds as pass, and brings them to
 * one pool only, so that all pools of a rate together never get more than that, however instances are cut off from each other. What a pool holds, and
 * by what it may be overdrawn, follows the part of all instances that bring to it; a new one begins empty.
 *
 * At worst all pools give out rate x (1 + over / 4) x (W + 500 ms) + 1.3 x (burst + slack / 4) units in a window of W ms, 500 ms being what instances
 * hold back at its beginning, and one unit more where whole ones are taken (`takeSome`).
 */
export class RatePool {
  private level = 0
  /** Instance milliseconds that came lately; one that came BROUGHT_MS ago counts for 1 / e. */
  private broughtMs = 0
  private fadedAt: number
  /** Units promised to those that were refused, so that they don't all come back at one moment. */
  private promised = 0
  private usedAt: number

  constructor (private readonly opts: { clock: Clock, bounds: RateBounds, countInstances: () => number }, private rate: PooledRate) {
    this.fadedAt = opts.clock.readTime()
    this.usedAt = this.fadedAt
  }

  /** Nobody has brought anything to it or taken from it for long. */
  get isIdle (): boolean {
    return this.opts.clock.readTime() - this.usedAt > IDLE_MS
  }

  /** Takes a changed rate; what is at hand beyond a lower one is gone. */
  setRate (rate: PooledRate): void {
    this.rate = rate
  }

  /** Takes time that instances have earned. */
  add (instanceMs: number): void {
    this.fade()
    this.broughtMs += instanceMs
    const units = this.earningPerMs * instanceMs / this.opts.countInstances()
    this.promised = Math.max(0, this.promised - units)
    this.level = Math.min(this.capacity, this.level + units)
  }

  /** Takes units for one request; one larger than what is at hand overdraws the pool. */
  take (units: number): RateVerdict {
    this.fade()
    this.level = Math.min(this.level, this.capacity)
    if (this.level > 0 && this.level + this.overdraft >= units) {
      this.level -= units
      return { isGranted: true }
    }
    const retryAfterMs = this.estimateWait(units)
    // Nobody waits longer than a window, so that what was promised beyond it is asked for by nobody.
    this.promised = Math.min(this.promised + units, this.earningPerMs * this.opts.bounds.windowMs)
    return { isGranted: false, retryAfterMs }
  }

  /** Takes so many whole units at the most; the last one may overdraw the pool by less than itself, so that also a pool that holds less than one gives some. */
  takeSome (most: number): RateGrant {
    this.fade()
    this.level = Math.min(this.level, this.capacity)
    const granted = Math.max(0, Math.min(most, Math.ceil(this.level)))
    this.level -= granted
    return { granted, retryAfterMs: Math.max(0, -this.level) / this.usablePerMs }
  }

  /** Takes back the units of a request that never ran. */
  giveBack (units: number): void {
    this.level = Math.min(this.capacity, this.level + units)
  }

  /** Milliseconds until units will be at hand, behind those that were promised some before. */
  private estimateWait (units: number): number {
    const missing = Math.max(0, units - this.overdraft - this.level) + this.promised
    return missing / this.usablePerMs
  }

  private get earningPerMs (): number {
    return this.rate.ratePerSecond / 1000 * (1 + this.opts.bounds.over * OVER_SHARE)
  }

  /** What comes to this pool; more than nothing, since it is divided by. */
  private get usablePerMs (): number {
    return Math.max(this.earningPerMs * this.share, Number.MIN_VALUE)
  }

  /** The part of all instances that bring time to this pool. */
  private get share (): number {
    return Math.min(1, ROUND_MARGIN * this.broughtMs / BROUGHT_MS / this.opts.countInstances())
  }

  private get capacity (): number {
    return this.share * Math.max(this.rate.burst, this.rate.ratePerSecond / 1000 * LEAST_POOL_MS)
  }

  private get overdraft (): number {
    return this.share * this.opts.bounds.slack * OVERDRAFT_SHARE
  }

  private fade (): void {
    const now = this.opts.clock.readTime()
    this.broughtMs *= Math.exp((this.fadedAt - now) / BROUGHT_MS)
    this.fadedAt = now
    this.usedAt = now
  }
}
