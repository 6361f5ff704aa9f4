import { computePercentile, roundToTenths } from './computePercentile.js'
import type { StreamFigures } from './LoadSummary.js'

/** One stream that ended. Times in milliseconds; undefined is what the log does not contain. */
export interface EndedStream {
  firstMs: number
  longestPauseMs: number
  isResumed: boolean
  sentFirstMs: number | undefined
  running: number | undefined
  prefillTokens: number | undefined
}

/** Collects the figures of the streams of one server, model or route. */
export class StreamTally {
  private resumed = 0
  private overPause = 0
  private readonly firstMs: number[] = []
  private readonly sentFirstMs: number[] = []
  private readonly running: number[] = []
  private readonly prefillTokens: number[] = []
  private longestPauseMs = 0

  /** `allowedPauseMs` is the longest pause allowed within a stream; undefined if not known. */
  constructor (private readonly allowedPauseMs: number | undefined) {}

  add (stream: EndedStream): void {
    if (stream.isResumed) this.resumed++
    if (this.allowedPauseMs !== undefined && stream.longestPauseMs > this.allowedPauseMs) this.overPause++
    this.firstMs.push(stream.firstMs)
    if (stream.sentFirstMs !== undefined) this.sentFirstMs.push(stream.sentFirstMs)
    if (stream.running !== undefined) this.running.push(stream.running)
    if (stream.prefillTokens !== undefined) this.prefillTokens.push(stream.prefillTokens)
    this.longestPauseMs = Math.max(this.longestPauseMs, stream.longestPauseMs)
  }

  /** Counts a stream whose times cannot be attributed to this server, because another one sent its first part. */
  recordResumed (): void {
    this.resumed++
  }

  build (name: string): StreamFigures {
    const streams = this.firstMs.length
    return {
      name,
      streams,
      resumed: this.resumed,
      overPauseShare: this.allowedPauseMs === undefined || streams === 0 ? undefined : Math.round(this.overPause / streams * 1_000) / 1_000,
      firstMs50: computePercentile(this.firstMs, 0.5),
      firstMs90: computePercentile(this.firstMs, 0.9),
      sentFirstMs50: computeRounded(this.sentFirstMs, 0.5),
      sentFirstMs90: computeRounded(this.sentFirstMs, 0.9),
      longestPauseMs: streams === 0 ? undefined : this.longestPauseMs,
      running50: computePercentile(this.running, 0.5),
      running90: computePercentile(this.running, 0.9),
      prefillTokens50: computePercentile(this.prefillTokens, 0.5),
      prefillTokens90: computePercentile(this.prefillTokens, 0.9),
    }
  }
}

function computeRounded (samples: readonly number[], share: number): number | undefined {
  const value = computePercentile(samples, share)
  return value === undefined ? undefined : roundToTenths(value)
}
