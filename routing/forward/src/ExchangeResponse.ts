import type http from 'node:http'
import type { ResponseFacts } from '@pulleystack/backend.interfaces'
import { readFraming, watchReset, type Framing, type OverheadWatch } from '@pulleystack/core.bodies'
import { PulleystackError, Ran } from '@pulleystack/core.errors'

/** A response whose head has been received; the body can be read from it. */
export class ExchangeResponse {
  readonly facts: ResponseFacts
  readonly framing: Framing
  /** To be called when the response turns out to be unusable, so that its request isn't repeated on the same connection. */
  readonly recordFailure: () => void
  private readonly request: http.ClientRequest
  private readonly message: http.IncomingMessage
  private readonly overhead: OverheadWatch
  private failure: Error | undefined

  constructor (opts: { request: http.ClientRequest, message: http.IncomingMessage, facts: ResponseFacts, overhead: OverheadWatch, recordFailure: () => void }) {
    this.facts = opts.facts
    this.recordFailure = opts.recordFailure
    this.request = opts.request
    this.message = opts.message
    this.overhead = opts.overhead
    this.framing = readFraming(opts.message, opts.request.method)
    watchReset(opts.request, opts.message, (cause) => {
      this.failure = cause
    })
  }

  get status (): number {
    return this.message.statusCode ?? 0
  }

  get statusMessage (): string {
    return this.message.statusMessage ?? ''
  }

  get headers (): http.IncomingHttpHeaders {
    return this.message.headers
  }

  /** Alternating header names and values, as received. */
  get rawHeaders (): readonly string[] {
    return this.message.rawHeaders
  }

  /**
   * Reads the whole body; rejects with ATTEMPT_FAILED_UNKNOWN when it is incomplete or larger than `maxBytes`, and with what `onBytes` throws, which is called
   * with the size of each chunk.
   */
  async readBody (maxBytes: number, onBytes?: (bytes: number) => void): Promise<Buffer> {
    const chunks: Buffer[] = []
    let size = 0
    await this.read((chunk) => {
      size += chunk.length
      if (size > maxBytes) throw createBodyError(`The response body is larger than ${maxBytes} bytes`)
      onBytes?.(chunk.length)
      chunks.push(chunk)
    })
    return Buffer.concat(chunks)
  }

  /**
   * Passes each chunk of the body to `onChunk` and resolves at the end; rejects with ATTEMPT_FAILED_UNKNOWN when the body
   * is incomplete. An error thrown by `onChunk` closes the connection and rejects.
   */
  read (onChunk: (chunk: Buffer) => void): Promise<void> {
    const { message } = this
    return new Promise((resolve, reject) => {
      const fail = (cause: unknown): void => reject(cause instanceof PulleystackError ? cause : createBodyError('The response ended before it was complete', cause))
      message.on('data', (chunk: Buffer) => {
        this.overhead.addBody(chunk.length)
        try {
          onChunk(chunk)
        } catch (thrown) {
          this.abort()
          fail(thrown)
        }
      })
      message.on('error', fail)
      message.on('close', () => fail(undefined))
      message.on('end', () => {
        if (this.failure || !message.complete) fail(this.failure)
        else resolve()
      })
    })
  }

  /** Stops reading, and so slows down the server, until `resume`. */
  pause (): void {
    this.message.pause()
  }

  resume (): void {
    this.message.resume()
  }

  /** Reads and drops the rest of the body, so that the connection can be reused. */
  discard (): void {
    this.message.on('error', () => undefined)
    this.message.resume()
  }

  /**
   * Closes the connection and marks the response as failed: Node drops the unread bytes but still ends the body normally,
   * which would pass for a complete response.
   */
  abort (): void {
    this.failure ??= new Error('The response was aborted')
    this.message.on('error', () => undefined)
    this.request.on('error', () => undefined)
    this.request.destroy()
  }
}

function createBodyError (message: string, cause?: unknown): PulleystackError {
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', message, { cause, ran: Ran.UNKNOWN })
}
