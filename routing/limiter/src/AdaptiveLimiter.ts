import { ConcurrencyLimiter, type LimiterSample } from './ConcurrencyLimiter.js'

export interface AdaptiveLimiterOptions {
  initialLimit?: number
  minLimit?: number
  maxLimit?: number
}

const DECREASE = 0.85
// A few requests waiting at the server keep it busy between reports; more only hide the order that they should go in.
const WAITING_TOLERATED = 0.5
// Slow changes of the floor let it follow a server whose hardware or model changed.
const FLOOR_RISE = 0.01
const SMOOTHING = 0.2
const COOLDOWN_MS = 100

/**
 * Additive increase, multiplicative decrease. The limit grows while it is used up and the first byte comes about as
 * fast as it ever does; it shrinks when first bytes come later by more than a whole request's time, when the server
 * reports many requests waiting for a place, or when it refuses. Every entry instance sees the same server, so that
 * their limits settle together.
 */
export class AdaptiveLimiter extends ConcurrencyLimiter {
  private value: number
  private floorMs = Infinity
  private smoothedMs: number | undefined
  private lowerableAt = 0
  private searching = true

  constructor (private readonly opts: AdaptiveLimiterOptions = {}) {
    super()
    this.value = opts.initialLimit ?? 8
  }

  get limit (): number {
    return Math.max(this.opts.minLimit ?? 1, Math.floor(this.value))
  }

  addSample (sample: LimiterSample): void {
    this.learn(sample.firstByteMs)
    if (this.isCongested(sample)) this.lower(sample.now)
    else if (sample.inFlight * 2 >= this.limit) this.raise()
  }

  private learn (firstByteMs: number): void {
    this.floorMs = Math.min(firstByteMs, this.floorMs === Infinity ? firstByteMs : this.floorMs * (1 + FLOOR_RISE))
    this.smoothedMs = this.smoothedMs === undefined ? firstByteMs : this.smoothedMs + (firstByteMs - this.smoothedMs) * SMOOTHING
  }

  private isCongested (sample: LimiterSample): boolean {
    const slow = (this.smoothedMs ?? 0) - this.floorMs > Math.max(this.floorMs, sample.serviceMs) + 2
    return sample.overloaded || sample.waitingShare > WAITING_TOLERATED || (slow && sample.inFlight > 1)
  }

  /** Doubles with each round of answers until the first congestion, and is careful from then on. */
  private raise (): void {
    const step = this.searching ? 1 : 1 / this.limit
    this.value = Math.min(this.opts.maxLimit ?? 1024, this.value + step)
  }

  // One burst of bad samples counts once, or a single hiccup would close the server.
  private lower (now: number): void {
    if (now < this.lowerableAt) return
    this.searching = false
    this.lowerableAt = now + COOLDOWN_MS + (this.smoothedMs ?? 0)
    this.value = Math.max(this.opts.minLimit ?? 1, this.value * DECREASE)
  }
}
