import type http from 'node:http'
import type { Socket } from 'node:net'
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
    if (!isFramed(opts.message)) this.watchEnd(opts.message.socket)
  }

  /**
   * When a reset arrives together with bytes, libuv reports the end of the stream and not the reset; the connection then
   * has no peer any more, which one that was closed in good order still has.
   */
  private watchEnd (socket: Socket): void {
    socket.prependOnceListener('end', () => {
      if (socket.remoteAddress === undefined) this.failure = new Error('The connection was reset')
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
    await this.read((chunk) => {
      size += chunk.length
      if (size > maxBytes) throw createBroken(`The answer is larger than ${maxBytes} bytes`)
      chunks.push(chunk)
    })
    return Buffer.concat(chunks)
  }

  /**
   * Gives the body's bytes as they come, and resolves at its end; rejects with ATTEMPT_FAILED_UNKNOWN when it breaks off.
   * What `take` throws ends the connection and rejects.
   */
  read (take: (chunk: Buffer) => void): Promise<void> {
    const { message } = this
    return new Promise((resolve, reject) => {
      const fail = (cause: unknown): void => reject(cause instanceof PulleystackError ? cause : createBroken('The answer broke off', cause))
      message.on('data', (chunk: Buffer) => {
        try {
          take(chunk)
        } catch (thrown) {
          this.cut()
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

  /** Holds the server back until `resume`. */
  pause (): void {
    this.message.pause()
  }

  resume (): void {
    this.message.resume()
  }

  /** Lets the rest of the body pass unread, so that the connection can be used again. */
  discard (): void {
    this.message.on('error', () => undefined)
    this.message.resume()
  }

  /**
   * Ends the connection. What was not read is lost, also when it has all come: Node drops it and ends the body as if it had been read, which
   * must not be taken for a whole answer.
   */
  cut (): void {
    this.failure ??= new Error('The answer was cut')
    this.message.on('error', () => undefined)
    this.request.on('error', () => undefined)
    this.request.destroy()
  }
}

/** Whether the answer's end is told by its head and not by its connection. */
function isFramed (message: http.IncomingMessage): boolean {
  return message.headers['content-length'] !== undefined || message.headers['transfer-encoding'] !== undefined
}

function createBroken (message: string, cause?: unknown): PulleystackError {
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', message, { cause, ran: Ran.UNKNOWN })
}
