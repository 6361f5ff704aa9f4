import { DEFAULT_PACE, type PaceEstimate } from './PaceEstimate.js'
import type { PaceSample, SharedPace } from './PaceSample.js'
import { PaceSamples, mergeMedians, type WeightedMedian } from './PaceSamples.js'
import { SlowSpell } from './SlowSpell.js'
import { isPossiblePace, isPossibleSample, isPossibleShared } from './paceBounds.js'

/** The prefill of a shorter prompt takes less time than the first event, so that its pace can't be told from the delays around it. */
const MIN_READ_TOKENS = 64
/** Samples at which the confidence is one half: a median of three isn't affected by a single outlier. */
const HALF_CONFIDENCE_SAMPLES = 3
/** The medians change little in this time, and are read for each server and request. */
const MEDIANS_LIFETIME_MS = 200
/** A peer whose estimate rests on fewer samples may report the pace of one model as that of the server. */
const MIN_SLOW_REPORT_SAMPLES = 8
/**
 * Age in milliseconds up to which a peer's report shows a slow spell. Spells of 600 ms are detected after some 300 ms, so that an older report mostly tells
 * of one that is over.
 */
const MAX_SLOW_REPORT_AGE_MS = 300

interface Medians {
  at: number
  pace: WeightedMedian | undefined
  event: WeightedMedian | undefined
}

/** Estimates the pace of one incarnation of a server from streams that it served. All times are monotonic, in milliseconds. */
export class ServerPace {
  /** Paces and event times measured by this instance. */
  private readonly paces = new PaceSamples()
  private readonly events = new PaceSamples()
  /** Paces and event times reported by other instances. */
  private readonly peerPaces = new PaceSamples()
  private readonly peerEvents = new PaceSamples()
  private readonly spell = new SlowSpell()
  private peerReport: { tokensPerMs: number, samples: number, at: number } | undefined
  private medians: Medians | undefined
  private hasUnsharedPace = false

  /** Time of the newest pace measured by this or another instance; `-Infinity` without one. */
  get newestAt (): number {
    return Math.max(this.spell.newestAt, this.peerReport?.at ?? -Infinity)
  }

  /** Adds what a stream showed of the server; false if it is impossible or shows nothing. */
  addSample (sample: PaceSample, now: number): boolean {
    if (!isPossibleSample(sample)) return false
    const { readTokens, events, eventMs, model } = sample
    const isMeasurable = readTokens >= MIN_READ_TOKENS
    const tokensPerMs = this.computePace(sample, now)
    if (isMeasurable && !isPossiblePace(tokensPerMs)) return false
    if (isMeasurable) {
      const usualEventMs = this.events.readMedian(now)?.value
      this.spell.add({ tokensPerMs, model, at: now, eventRatio: events > 0 && usualEventMs !== undefined ? usualEventMs / eventMs : 1 })
      this.paces.add(tokensPerMs, now)
      this.hasUnsharedPace = true
    }
    if (events > 0) this.events.add(eventMs, now)
    this.medians = undefined
    return isMeasurable || events > 0
  }

  /** Merges the estimate of another instance; false if it is impossible. */
  applyShared (shared: SharedPace, now: number): boolean {
    if (!isPossibleShared(shared)) return false
    const [tokensPerMs, eventMs, samples, ageMs] = shared
    const at = now - ageMs
    this.peerPaces.add(tokensPerMs, at, samples)
    if (eventMs > 0) this.peerEvents.add(eventMs, at, samples)
    if (at >= (this.peerReport?.at ?? -Infinity)) this.peerReport = { tokensPerMs, samples, at }
    this.medians = undefined
    return true
  }

  /**
   * Returns the present estimate; what wasn't measured is taken from `fallback`. With `isBlended`, the less is known, the nearer the pace is to the
   * fallback: otherwise a server whose first few samples were bad would get no requests that could show better.
   */
  read (now: number, fallback: PaceEstimate = DEFAULT_PACE, isBlended = false): PaceEstimate {
    const { pace, event } = this.readMedians(now)
    const eventMs = event?.value ?? fallback.eventMs
    if (!pace) return { tokensPerMs: fallback.tokensPerMs, eventMs, confidence: 0, isSlowNow: false }
    const ratio = this.readSlowRatio(pace.value, now)
    const confidence = pace.weight / (pace.weight + HALF_CONFIDENCE_SAMPLES)
    const lasting = isBlended ? fallback.tokensPerMs + (pace.value - fallback.tokensPerMs) * confidence : pace.value
    return { tokensPerMs: lasting * ratio, eventMs: eventMs / ratio, confidence, isSlowNow: ratio < 1 }
  }

  /** Pace and event time without regard to a slow spell; undefined without samples. */
  readLasting (now: number): { tokensPerMs: number | undefined, eventMs: number | undefined } {
    const { pace, event } = this.readMedians(now)
    return { tokensPerMs: pace?.value, eventMs: event?.value }
  }

  /** The estimate from samples of this instance, for its peers; undefined if it has no new ones, which would count twice. */
  share (now: number): SharedPace | undefined {
    const pace = this.paces.readMedian(now)
    if (!pace || !this.hasUnsharedPace) return undefined
    this.hasUnsharedPace = false
    const tokensPerMs = pace.value * this.spell.readRatio(now)
    const eventMs = this.events.readMedian(now)?.value ?? 0
    const ageMs = Math.max(0, Math.round(now - this.spell.newestAt))
    return [roundTo(tokensPerMs, 100), roundTo(eventMs, 10), this.paces.count(now), ageMs]
  }

  /** The first event follows the prefill by the time of one event. */
  private computePace ({ readTokens, aheadTokens, firstEventMs, events, eventMs }: PaceSample, now: number): number {
    const decodeMs = events > 0 ? eventMs : this.readMedians(now).event?.value ?? DEFAULT_PACE.eventMs
    return (aheadTokens + readTokens) / Math.max(firstEventMs - decodeMs, firstEventMs / 2)
  }

  /** The newest information decides: a sample of this instance, or the report of a peer. */
  private readSlowRatio (lastingTokensPerMs: number, now: number): number {
    const report = this.peerReport
    if (!report || report.at <= this.spell.newestAt) return this.spell.readRatio(now)
    if (report.samples < MIN_SLOW_REPORT_SAMPLES) return this.spell.readRatio(now)
    return SlowSpell.computeRatio(report.tokensPerMs / lastingTokensPerMs, report.at, now, MAX_SLOW_REPORT_AGE_MS)
  }

  private readMedians (now: number): Medians {
    if (this.medians && now - this.medians.at < MEDIANS_LIFETIME_MS) return this.medians
    this.medians = {
      at: now,
      pace: mergeMedians(this.paces.readMedian(now), this.peerPaces.readMedian(now)),
      event: mergeMedians(this.events.readMedian(now), this.peerEvents.readMedian(now)),
    }
    return this.medians
  }
}

function roundTo (value: number, steps: number): number {
  return Math.round(value * steps) / steps
}
