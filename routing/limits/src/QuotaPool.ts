import type { TeamQuota } from '@pulleystack/config.routes'
import type { Clock } from '@pulleystack/core.clock'
import type { QuotaVerdict } from './TeamLimits.js'

/** Time over which the instances that bring time to a pool are counted; long enough for two rounds of news, short enough that a new pool is soon whole. */
const BROUGHT_MS = 500
/** What is brought comes in rounds, so that a pool of all instances sees up to so much less of them at the end of a round. */
const ROUND_MARGIN = 1.3
/** Least size of a full pool, in milliseconds of its rate, for quotas without burst. */
const LEAST_POOL_MS = 250

/** How far all instances together may go over a quota, as the operator bounds it. */
export interface QuotaBounds {
  windowMs: number
  /** Share by which a window may go over. */
  over: number
  /** Units by which a window may go over beside that. */
  slack: number
}

/** Share of what a window may go over by which time earns more than the rate: it makes up for instances that are gone and for lost messages. */
const OVER_SHARE = 0.25
/** Share of the slack that one pool may be overdrawn by, so that pools that begin anew in one window stay within it together. */
const OVERDRAFT_SHARE = 0.25

/**
 * The units of one team that are at hand at one instance. Time is what fills it: each instance earns as many milliseconds as pass, and brings them to
 * one pool only, so that all pools of a team together never get more than the rate of the quota, however instances are cut off from each other. What a
 * pool holds, and by what it may be overdrawn, follows the part of all instances that bring to it; a new one begins empty.
 *
 * At worst all pools give out rate x (1 + over / 4) x (W + 500 ms) + 1.3 x (burst + slack / 4) units in a window of W ms, 500 ms being what instances
 * hold back at its beginning. The operator allows (rate x W + burst) x (1 + over) + slack, which is more for windows of some seconds.
 */
export class QuotaPool {
  private level = 0
  /** Instance milliseconds that came lately; one that came BROUGHT_MS ago counts for 1 / e. */
  private broughtMs = 0
  private fadedAt: number
  /** Units promised to those that were refused, so that they don't all come back at one moment. */
  private promised = 0

  constructor (private readonly opts: { clock: Clock, bounds: QuotaBounds, countInstances: () => number }, private quota: TeamQuota) {
    this.fadedAt = opts.clock.readTime()
  }

  /** Takes a changed quota; what is at hand beyond a lower one is gone. */
  setQuota (quota: TeamQuota): void {
    this.quota = quota
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
  take (units: number): QuotaVerdict {
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

  /** Takes back the units of a request that never ran. */
  giveBack (units: number): void {
    this.level = Math.min(this.capacity, this.level + units)
  }

  /** Milliseconds until units will be at hand, behind those that were promised some before. */
  private estimateWait (units: number): number {
    const missing = Math.max(0, units - this.overdraft - this.level) + this.promised
    return missing / Math.max(this.earningPerMs * this.share, Number.MIN_VALUE)
  }

  private get earningPerMs (): number {
    return this.quota.ratePerSecond / 1000 * (1 + this.opts.bounds.over * OVER_SHARE)
  }

  /** The part of all instances that bring time to this pool. */
  private get share (): number {
    return Math.min(1, ROUND_MARGIN * this.broughtMs / BROUGHT_MS / this.opts.countInstances())
  }

  private get capacity (): number {
    return this.share * Math.max(this.quota.burst, this.quota.ratePerSecond / 1000 * LEAST_POOL_MS)
  }

  private get overdraft (): number {
    return this.share * this.opts.bounds.slack * OVERDRAFT_SHARE
  }

  private fade (): void {
    const now = this.opts.clock.readTime()
    this.broughtMs *= Math.exp((this.fadedAt - now) / BROUGHT_MS)
    this.fadedAt = now
  }
}
