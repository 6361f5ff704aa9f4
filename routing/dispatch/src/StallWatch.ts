import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'

export interface StallWatchOptions {
  clock: Clock
  /** Silence after which the server may be frozen with its connection open. */
  stallMs: number
  /** Asked then; true when silence is to be expected, as while the request waits in the server's own queue. */
  mayWait: () => boolean
  /** Ends the stream for other reasons. */
  signal: AbortSignal
}

/** Ends a stream from which nothing comes any more. One timer watches it, however many tokens come. */
export class StallWatch {
  private readonly abort = new AbortController()
  private readonly leave = (): void => this.end(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The attempt was stopped'))
  private progressAt: number
  private cancelTimer: () => void = () => undefined
  private failReader: (error: PulleystackError) => void = () => undefined

  constructor (private readonly opts: StallWatchOptions) {
    this.progressAt = opts.clock.readTime()
    if (opts.signal.aborted) this.leave()
    opts.signal.addEventListener('abort', this.leave, { once: true })
    this.schedule(opts.stallMs)
  }

  /** Ends with the stream, whatever ends it. */
  get signal (): AbortSignal {
    return this.abort.signal
  }

  noteProgress (): void {
    this.progressAt = this.opts.clock.readTime()
  }

  /** Settles like the reader, or fails when the stream is ended here: a frozen one would never settle. */
  guard<T> (reading: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      this.failReader = reject
      if (this.abort.signal.aborted) reject(this.abort.signal.reason)
      reading.then(resolve, reject)
    })
  }

  stop (): void {
    this.cancelTimer()
    this.opts.signal.removeEventListener('abort', this.leave)
  }

  private schedule (ms: number): void {
    this.cancelTimer = this.opts.clock.setTimer(ms, () => this.check())
  }

  private check (): void {
    const silentMs = this.opts.clock.readTime() - this.progressAt
    if (silentMs < this.opts.stallMs) this.schedule(this.opts.stallMs - silentMs)
    else if (this.opts.mayWait()) this.schedule(this.opts.stallMs)
    else this.end(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `Nothing came for ${this.opts.stallMs} ms`))
  }

  private end (error: PulleystackError): void {
    this.abort.abort(error)
    this.failReader(error)
  }
}
