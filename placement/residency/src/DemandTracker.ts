import type { Clock } from '@pulleystack/core.clock'
import { PREFILL_TOKENS_PER_MS } from '@pulleystack/routing.fleet'
import { DemandShifts } from './DemandShifts.js'
import { RecentRequests } from './RecentRequests.js'

/** Requests that one instance counted for one model and adapter since its last report. */
export interface DemandCount {
  service: string
  model: string
  adapter: string | undefined
  /** New requests. */
  requests: number
  /** Requests that released their slot at a server. */
  ended: number
  /** Total milliseconds for which the ended requests occupied their slots. */
  heldMs: number
  /** Prompt tokens that servers had to prefill for the ended requests. */
  readTokens: number
  /** Requests that currently occupy a slot or wait for one. */
  inHand: number
}

/** Sums the counts of each model over its adapters. */
export function sumByModel (counts: readonly DemandCount[]): DemandCount[] {
  const sums = new Map<string, DemandCount>()
  for (const count of counts) {
    const key = `${count.service}|${count.model}`
    const sum = sums.get(key) ?? { ...count, adapter: undefined, requests: 0, ended: 0, heldMs: 0, readTokens: 0, inHand: 0 }
    sum.requests += count.requests
    sum.ended += count.ended
    sum.heldMs += count.heldMs
    sum.readTokens += count.readTokens
    sum.inHand += count.inHand
    sums.set(key, sum)
  }
  return [...sums.values()]
}

/** Demand for a model. */
export interface ModelDemand {
  requestsPerSecond: number
  /** Slots that the requests occupy at a time, or would occupy if enough were free. */
  slots: number
  /** Milliseconds per second that one server would spend on prefilling all prompts. */
  prefillMsPerSecond: number
  /** Mean milliseconds for which a request occupies its slot. */
  heldMs: number
  /** Milliseconds since the last request; infinite when there was none. */
  idleMs: number
  /** Mean prompt tokens to prefill for one request; 0 when not known. */
  promptTokens: number
  /** Milliseconds for which a request occupies its slot on an uncongested server. */
  uncongestedHeldMs: number
  /** Requests that occupy a slot or wait for one. */
  inFlight: number
}

/** Longer than the gaps between bursts of requests, shorter than demand stays with one model. */
const SLOW_HALF_LIFE_MS = 4_000
/** Detects a rise early enough for a load to help. */
const FAST_HALF_LIFE_MS = 1_000
/** Slot time assumed until the first request has ended. */
const DEFAULT_HELD_MS = 1_500
/** Weight of the latest ended request in the moving averages. */
const MEAN_WEIGHT = 0.1
/** Longer than three report intervals; older reports come from an instance that has stopped. */
const REPORT_MAX_AGE_MS = 1_000
/** Requests per second of a model without a copy that requests wait for; a lower rate would not justify a load from the weight store. */
const MIN_COLD_RATE = 1

interface TrackedDemand {
  /** Requests, decaying with `SLOW_HALF_LIFE_MS`. */
  slowCount: number
  /** Requests, decaying with `FAST_HALF_LIFE_MS`. */
  fastCount: number
  updatedAt: number
  lastRequestedAt: number
  meanHeldMs: number | undefined
  recent: RecentRequests
  /** Mean prompt tokens to prefill for one request. */
  prefillTokens: number
  /** Requests in flight at each instance, and the monotonic time of its report. */
  inFlight: Map<string, { count: number, reportedAt: number }>
}

/** Tracks the demand for each model and adapter of one service over all instances, as exponentially decaying counts. */
export class DemandTracker {
  private readonly tracked = new Map<string, TrackedDemand>()
  /** Monotonic time at which a load was last requested, by model. */
  private readonly lastWaitingAt = new Map<string, number>()
  /** The same for the first copy of a model. */
  private readonly lastColdAt = new Map<string, number>()
  private readonly shifts: DemandShifts | undefined
  private meanHeldMs = DEFAULT_HELD_MS
  private firstRequestedAt: number | undefined
  /** Requests for all models, for a model without ended requests. */
  private readonly recent = new RecentRequests()

  /** With `detectsShifts`, rises and falls count at once, and a model without a copy counts fully. */
  constructor (private readonly clock: Clock, private readonly followsTrend = true, detectsShifts = false) {
    if (detectsShifts) this.shifts = new DemandShifts(clock)
  }

  /** Milliseconds since an instance first reported a request for any model; undefined before. */
  get knownMs (): number | undefined {
    return this.firstRequestedAt === undefined ? undefined : this.clock.readTime() - this.firstRequestedAt
  }

  /** Adds the requests that one instance counted over the last `spanMs`. */
  add (name: string, instance: string, count: Pick<DemandCount, 'requests' | 'ended' | 'heldMs' | 'readTokens' | 'inHand'>, spanMs: number): void {
    const now = this.clock.readTime()
    const tracked = this.tracked.get(name) ?? {
      slowCount: 0,
      fastCount: 0,
      updatedAt: now,
      lastRequestedAt: -Infinity,
      meanHeldMs: undefined,
      recent: new RecentRequests(),
      prefillTokens: 0,
      inFlight: new Map(),
    }
    tracked.slowCount = fade(tracked.slowCount, now - tracked.updatedAt, SLOW_HALF_LIFE_MS) + fadeOver(count.requests, spanMs, SLOW_HALF_LIFE_MS)
    tracked.fastCount = fade(tracked.fastCount, now - tracked.updatedAt, FAST_HALF_LIFE_MS) + fadeOver(count.requests, spanMs, FAST_HALF_LIFE_MS)
    tracked.updatedAt = now
    this.shifts?.add(name, count.requests, spanMs)
    if (count.requests > 0) {
      tracked.lastRequestedAt = now
      this.firstRequestedAt ??= now
    }
    tracked.inFlight.set(instance, { count: count.inHand, reportedAt: now })
    if (count.ended > 0) this.recordEnded(tracked, count)
    this.tracked.set(name, tracked)
  }

  /** Counts one waiting request for a model until the next demand reports arrive. */
  recordWaiting (name: string, hasCopy = true): void {
    this.lastWaitingAt.set(name, this.clock.readTime())
    if (this.shifts && !hasCopy) this.lastColdAt.set(name, this.clock.readTime())
  }

  read (name: string): ModelDemand {
    const tracked = this.tracked.get(name)
    const now = this.clock.readTime()
    const isWaiting = now - (this.lastWaitingAt.get(name) ?? -Infinity) < REPORT_MAX_AGE_MS
    const isCold = now - (this.lastColdAt.get(name) ?? -Infinity) < REPORT_MAX_AGE_MS
    const minRate = isCold ? MIN_COLD_RATE : isWaiting ? computeRatePerCount(SLOW_HALF_LIFE_MS) : 0
    if (!tracked) return {
      requestsPerSecond: minRate,
      slots: minRate * this.meanHeldMs / 1000,
      prefillMsPerSecond: 0,
      heldMs: this.meanHeldMs,
      idleMs: isWaiting ? 0 : Infinity,
      promptTokens: this.recent.promptTokens ?? 0,
      uncongestedHeldMs: this.recent.uncongestedHeldMs ?? this.meanHeldMs,
      inFlight: 0,
    }
    const agoMs = now - tracked.updatedAt
    const slowRate = fade(tracked.slowCount, agoMs, SLOW_HALF_LIFE_MS) * computeRatePerCount(SLOW_HALF_LIFE_MS)
    const expected = this.followsTrend ? estimateRate(slowRate, fade(tracked.fastCount, agoMs, FAST_HALF_LIFE_MS)) : slowRate
    const requestsPerSecond = Math.max(minRate, this.applyShifts(name, slowRate, expected))
    const heldMs = tracked.meanHeldMs ?? this.meanHeldMs
    // The mean of ended requests is too low while long ones still run, so the requests in flight are a lower bound.
    const inFlight = sumInFlight(tracked, now)
    const slots = Math.max(requestsPerSecond * heldMs / 1000, inFlight)
    const prefillMsPerSecond = requestsPerSecond * tracked.prefillTokens / PREFILL_TOKENS_PER_MS
    const promptTokens = tracked.recent.promptTokens ?? this.recent.promptTokens ?? 0
    const uncongestedHeldMs = tracked.recent.uncongestedHeldMs ?? this.recent.uncongestedHeldMs ?? heldMs
    return { requestsPerSecond, slots, prefillMsPerSecond, heldMs, idleMs: now - tracked.lastRequestedAt, promptTokens, uncongestedHeldMs, inFlight }
  }

  /** A detected rise is at least as high as the extrapolated one; a detected fall replaces it. */
  private applyShifts (name: string, slowRate: number, expected: number): number {
    const corrected = this.shifts?.estimateRate(name, slowRate) ?? slowRate
    if (corrected > slowRate) return Math.max(corrected, expected)
    return corrected < slowRate ? Math.min(corrected, expected) : expected
  }

  private recordEnded (tracked: TrackedDemand, count: Pick<DemandCount, 'ended' | 'heldMs' | 'readTokens'>): void {
    const weight = 1 - (1 - MEAN_WEIGHT) ** count.ended
    const meanMs = count.heldMs / count.ended
    for (const recent of [tracked.recent, this.recent]) recent.add({ heldMs: meanMs, promptTokens: count.readTokens / count.ended })
    tracked.prefillTokens = tracked.prefillTokens * (1 - weight) + count.readTokens / count.ended * weight
    tracked.meanHeldMs = (tracked.meanHeldMs ?? meanMs) * (1 - weight) + meanMs * weight
    this.meanHeldMs = this.meanHeldMs * (1 - weight) + meanMs * weight
  }
}

/**
 * Extrapolates the request rate by a few seconds, about half the duration of a load from the weight store. Only a change beyond the standard
 * deviation of random arrivals counts as a rise or a fall.
 */
function estimateRate (slowRate: number, recentCount: number): number {
  const deviation = Math.sqrt(recentCount)
  const lowRate = Math.max(0, recentCount - deviation) * computeRatePerCount(FAST_HALF_LIFE_MS)
  const highRate = (recentCount + deviation + 1) * computeRatePerCount(FAST_HALF_LIFE_MS)
  // The two averages are a few seconds apart, so the same rise again is expected about as far ahead.
  return lowRate > slowRate ? lowRate + (lowRate - slowRate) : Math.min(slowRate, highRate)
}

function sumInFlight (tracked: TrackedDemand, now: number): number {
  let sum = 0
  for (const { count, reportedAt } of tracked.inFlight.values()) {
    if (now - reportedAt < REPORT_MAX_AGE_MS) sum += count
  }
  return sum
}

/** Factor from a decayed count to requests per second. */
function computeRatePerCount (halfLifeMs: number): number {
  return Math.LN2 / halfLifeMs * 1000
}

/** Decayed count of requests that arrived evenly over a span that ends now. */
function fadeOver (count: number, spanMs: number, halfLifeMs: number): number {
  const halfLives = spanMs / halfLifeMs
  return halfLives === 0 ? count : count * (1 - 2 ** -halfLives) / (halfLives * Math.LN2)
}

function fade (count: number, agoMs: number, halfLifeMs: number): number {
  return count * 2 ** (-agoMs / halfLifeMs)
}
