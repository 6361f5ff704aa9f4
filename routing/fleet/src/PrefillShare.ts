/** Longest pauses of streams at one server, as exchanged between instances. */
export interface PauseSample {
  /** The longest pause as a share of the route's allowed maximum. */
  maxShare: number
  streams: number
}

/** Pauses above this share of the allowed maximum mean that the server processes too many prompt tokens beside its streams. */
const LONG_PAUSE_SHARE = 0.9
/** Factor applied to the share after a long pause. */
const DECREASE_FACTOR = 0.85
/** Increase for each stream without a long pause. */
const INCREASE_PER_STREAM = 0.01
/** An idle server accepts any prompt, so a lower share would only leave it idle. */
const MIN_SHARE = 0.3
/** Streams affected by the same pause end within this time of each other and count once. */
const SAME_PAUSE_WINDOW_MS = 500

/** Adapts the prefill limit of one server: the share drops when its streams pause for too long, and rises again while they don't. */
export class PrefillShare {
  private share = 1
  private lastDecreaseAt = -Infinity

  get value (): number {
    return this.share
  }

  /** Adds the longest pause of recently ended streams. */
  addSample ({ maxShare, streams }: PauseSample, now: number): void {
    if (maxShare < LONG_PAUSE_SHARE) {
      this.share = Math.min(1, this.share + INCREASE_PER_STREAM * streams)
      return
    }
    if (now - this.lastDecreaseAt < SAME_PAUSE_WINDOW_MS) return
    this.lastDecreaseAt = now
    this.share = Math.max(MIN_SHARE, this.share * DECREASE_FACTOR)
  }
}
