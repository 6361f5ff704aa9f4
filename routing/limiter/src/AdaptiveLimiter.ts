import { ConcurrencyLimiter, type LimiterSample } from './ConcurrencyLimiter.js'

export interface AdaptiveLimiterOptions {
  initialLimit?: number
  minLimit?: number
  maxLimit?: number
}

const DECREASE_FACTOR = 0.85
// A short queue at the server keeps it busy between reports; a longer one bypasses the ordering of our own queue.
const MAX_WAITING_SHARE = 0.5
// The baseline rises slowly to follow a server whose hardware or model changed.
const BASELINE_RISE_PER_SAMPLE = 0.01
const EWMA_WEIGHT = 0.2
const COOLDOWN_MS = 100

/**
 * Additive increase, multiplicative decrease. The limit grows while at least half of it is in use. It shrinks when
 * first-byte latency exceeds its baseline by more than a request's service time, when the server reports a long queue,
 * or when it rejects requests or times out.
 */
export class AdaptiveLimiter extends ConcurrencyLimiter {
  private fractionalLimit: number
  private baselineMs = Infinity
  private smoothedMs: number | undefined
  private lowerAllowedAt = 0
  private isSlowStart = true

  constructor (private readonly opts: AdaptiveLimiterOptions = {}) {
    super()
    this.fractionalLimit = opts.initialLimit ?? 8
  }

  get limit (): number {
    return Math.max(this.opts.minLimit ?? 1, Math.floor(this.fractionalLimit))
  }

  addSample (sample: LimiterSample): void {
    this.updateLatency(sample.firstByteMs)
    if (this.isCongested(sample)) this.lowerLimit(sample.now)
    else if (sample.inFlight * 2 >= this.limit) this.raiseLimit()
  }

  private updateLatency (firstByteMs: number): void {
    this.baselineMs = Math.min(firstByteMs, this.baselineMs === Infinity ? firstByteMs : this.baselineMs * (1 + BASELINE_RISE_PER_SAMPLE))
    this.smoothedMs = this.smoothedMs === undefined ? firstByteMs : this.smoothedMs + (firstByteMs - this.smoothedMs) * EWMA_WEIGHT
  }

  private isCongested (sample: LimiterSample): boolean {
    const isSlow = (this.smoothedMs ?? 0) - this.baselineMs > Math.max(this.baselineMs, sample.serviceMs) + 2
    return sample.overloaded || sample.waitingShare > MAX_WAITING_SHARE || (isSlow && sample.inFlight > 1)
  }

  /** Slow start: the limit doubles each round trip until the first congestion, then grows by one per round trip. */
  private raiseLimit (): void {
    const step = this.isSlowStart ? 1 : 1 / this.limit
    this.fractionalLimit = Math.min(this.opts.maxLimit ?? 1024, this.fractionalLimit + step)
  }

  // A burst of congested samples lowers the limit only once.
  private lowerLimit (now: number): void {
    if (now < this.lowerAllowedAt) return
    this.isSlowStart = false
    this.lowerAllowedAt = now + COOLDOWN_MS + (this.smoothedMs ?? 0)
    this.fractionalLimit = Math.max(this.opts.minLimit ?? 1, this.fractionalLimit * DECREASE_FACTOR)
  }
}
