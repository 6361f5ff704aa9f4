import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'

export interface StallWatchOptions {
  clock: Clock
  /** Milliseconds without data after which the stream counts as stalled. */
  stallMs: number
  /** Called for a stalled stream; true when a pause is expected, as while the request is in the server's queue. */
  mayWait: () => boolean
  /** Aborts the stream for other reasons. */
  signal: AbortSignal
}

/** Aborts a stalled stream. Uses a single timer, which progress does not reset. */
export class StallWatch {
  private readonly controller = new AbortController()
  private readonly handleAbort = (): void => this.fail(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The attempt was aborted'))
  private progressAt: number
  private cancelTimer: () => void = () => undefined
  private rejectReading: (error: PulleystackError) => void = () => undefined

  constructor (private readonly opts: StallWatchOptions) {
    this.progressAt = opts.clock.readTime()
    if (opts.signal.aborted) this.handleAbort()
    opts.signal.addEventListener('abort', this.handleAbort, { once: true })
    this.schedule(opts.stallMs)
  }

  /** Aborted with the stream, for whichever reason. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  recordProgress (): void {
    this.progressAt = this.opts.clock.readTime()
  }

  /** Settles like `reading`, or rejects when the stream is aborted, since a stalled read may never settle. */
  guard<T> (reading: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      this.rejectReading = reject
      if (this.controller.signal.aborted) reject(this.controller.signal.reason)
      reading.then(resolve, reject)
    })
  }

  stop (): void {
    this.cancelTimer()
    this.opts.signal.removeEventListener('abort', this.handleAbort)
  }

  private schedule (ms: number): void {
    this.cancelTimer = this.opts.clock.setTimer(ms, () => this.check())
  }

  private check (): void {
    const silentMs = this.opts.clock.readTime() - this.progressAt
    if (silentMs < this.opts.stallMs) this.schedule(this.opts.stallMs - silentMs)
    else if (this.opts.mayWait()) this.schedule(this.opts.stallMs)
    else this.fail(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `No data received for ${this.opts.stallMs} ms`))
  }

  private fail (error: PulleystackError): void {
    this.controller.abort(error)
    this.rejectReading(error)
  }
}
