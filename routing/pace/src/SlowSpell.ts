import { computeWeightedMedian } from './computeWeightedMedian.js'
import { MAX_SAMPLES } from './PaceSamples.js'

/** A pace at or below this share of the usual one is slow. */
const SLOW_RATIO = 0.5
/** A spell ends when nothing was measured for this time in milliseconds; spells are mostly shorter. */
const SPELL_MS = 1_000
const MAX_AGE_MS = 30_000
/** Samples of a model from which its usual pace is known. */
const MIN_MODEL_SAMPLES = 3

interface MeasuredPace {
  tokensPerMs: number
  model: string
  /** Monotonic time in milliseconds. */
  at: number
  /** The usual event time of the server as a share of this stream's; 1 if unknown. */
  eventRatio: number
}

interface JudgedPace extends MeasuredPace {
  /** The pace as a share of the model's usual one. */
  ratio: number
}

/**
 * Detects that a server is slower than usual for a short time. A sample is compared with those of the same model, since models differ in pace. It counts
 * alone if the stream's events were slow as well; a long time to the first event alone may be due to requests that other instances sent at the same time,
 * and needs a second sample in a row.
 */
export class SlowSpell {
  private paces: JudgedPace[] = []

  /** `-Infinity` without samples. */
  get newestAt (): number {
    return this.paces.at(-1)?.at ?? -Infinity
  }

  /** Returns a slow ratio unchanged, and 1 if it isn't slow or older than `maxAgeMs`. */
  static computeRatio (ratio: number, at: number, now: number, maxAgeMs = SPELL_MS): number {
    return ratio <= SLOW_RATIO && now - at <= maxAgeMs ? ratio : 1
  }

  add (pace: MeasuredPace): void {
    this.paces = this.paces.filter(({ at }) => pace.at - at <= MAX_AGE_MS).slice(1 - MAX_SAMPLES)
    const usual = this.paces.filter(({ model }) => model === pace.model).map(({ tokensPerMs }) => ({ value: tokensPerMs, weight: 1 }))
    const usualPace = usual.length < MIN_MODEL_SAMPLES ? pace.tokensPerMs : computeWeightedMedian(usual) ?? pace.tokensPerMs
    this.paces.push({ ...pace, ratio: pace.tokensPerMs / usualPace })
  }

  /** Present pace as a share of the usual one: at most one half during a slow spell, otherwise 1. */
  readRatio (now: number): number {
    const [newest, previous] = this.paces.slice(-2).reverse()
    if (!newest) return 1
    const isConfirmed = newest.eventRatio <= SLOW_RATIO || (previous !== undefined && SlowSpell.computeRatio(previous.ratio, previous.at, newest.at) < 1)
    return isConfirmed ? SlowSpell.computeRatio(newest.ratio, newest.at, now) : 1
  }
}
