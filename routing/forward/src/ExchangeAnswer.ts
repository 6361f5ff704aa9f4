import type http from 'node:http'
import type { AnswerFacts } from '@pulleystack/backend.interfaces'
import { PulleystackError, Ran } from '@pulleystack/core.errors'

/** An answer whose head has come and is the server's own; the body follows. */
export class ExchangeAnswer {
  readonly facts: AnswerFacts
  private readonly request: http.ClientRequest
  private readonly message: http.IncomingMessage
  private failure: Error | undefined

  constructor (opts: { request: http.ClientRequest, message: http.IncomingMessage, facts: AnswerFacts }) {
    this.facts = opts.facts
    this.request = opts.request
    this.message = opts.message
    // An answer without length that is reset is not whole, although Node ends its body as if it were. Bytes that come
    // after a whole answer are no part of it and fail only the connection.
    opts.request.on('error', (cause) => {
      if (!this.message.complete) this.failure = cause
    })
  }

  get status (): number {
    return this.message.statusCode ?? 0
  }

  get statusMessage (): string {
    return this.message.statusMessage ?? ''
  }

  /** Names and values by turns, as the server sent them. */
  get rawHeaders (): readonly string[] {
    return this.message.rawHeaders
  }

  /** Reads the whole body; rejects with ATTEMPT_FAILED_UNKNOWN when it breaks off or is too large. */
  async readWhole (maxBytes: number): Promise<Buffer> {
    const chunks: Buffer[] = []
    let size = 0
    for await (const chunk of this.readChunks()) {
      size += chunk.length
      if (size > maxBytes) {
        this.cut()
        throw createBroken(`The answer is larger than ${maxBytes} bytes`)
      }
      chunks.push(chunk)
    }
    return Buffer.concat(chunks)
  }

  /** The body as it comes; rejects with ATTEMPT_FAILED_UNKNOWN when it breaks off. */
  async* readChunks (): AsyncGenerator<Buffer> {
    try {
      for await (const chunk of this.message as AsyncIterable<Buffer>) yield chunk
    } catch (cause) {
      throw createBroken('The answer broke off', cause)
    }
    if (this.failure || !this.message.complete) throw createBroken('The answer broke off', this.failure)
  }

  /** Lets the rest of the body pass unread, so that the connection can be used again. */
  discard (): void {
    this.message.on('error', () => undefined)
    this.message.resume()
  }

  /** Ends the connection. */
  cut (): void {
    this.message.on('error', () => undefined)
    this.request.on('error', () => undefined)
    this.request.destroy()
  }
}

function createBroken (message: string, cause?: unknown): PulleystackError {
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', message, { cause, ran: Ran.UNKNOWN })
}
