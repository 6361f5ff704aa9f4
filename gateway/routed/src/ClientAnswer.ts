import type http from 'node:http'
import type { PulleystackError } from '@pulleystack/core.errors'
import { Ran } from '@pulleystack/core.errors'
import { listEndToEnd } from '@pulleystack/core.headers'
import type { ExchangeAnswer } from '@pulleystack/routing.forward'
import { RELAY_HEADER_NAMES, RelayHeaders } from './relayHeaders.js'

const NOT_PASSED_ON = new Set<string>(['content-length', ...RELAY_HEADER_NAMES])
const DEFAULT_RETRY_SECONDS = 0.25
/** Answers that tell when to come back. */
const RETRY_STATUSES: ReadonlySet<number> = new Set([429, 503])

export interface ClientAnswerOptions {
  response: http.ServerResponse
  ownHeaders: Record<string, string>
  /** The version of the configuration that answers, for the instance that handed the request on; undefined for a client's own. */
  readRelayVersion?: () => number | undefined
  /** The connection is to close after this answer. */
  mustClose: () => boolean
}

/** The answer to one client; it begins once, and never looks whole unless it is. */
export class ClientAnswer {
  constructor (private readonly opts: ClientAnswerOptions) {}

  get hasBegun (): boolean {
    return this.opts.response.headersSent
  }

  /** Passes a whole answer of a backend server on. */
  sendWhole (answer: ExchangeAnswer, body: Buffer): void {
    const headers = listEndToEnd(answer.rawHeaders, NOT_PASSED_ON)
    if (answer.status !== 204 && answer.status !== 304) headers.push('Content-Length', String(body.length))
    this.writeHead(answer, headers)
    this.opts.response.end(body)
  }

  /** Begins to pass a stream on. */
  beginStream (answer: ExchangeAnswer): void {
    this.writeHead(answer, listEndToEnd(answer.rawHeaders, NOT_PASSED_ON))
  }

  /** Passes bytes on; false when the client should be waited for with `onDrain`. */
  write (bytes: Buffer): boolean {
    return this.opts.response.write(bytes)
  }

  /** Calls once the client's connection takes more. */
  onDrain (resume: () => void): void {
    this.opts.response.once('drain', resume)
  }

  endStream (): void {
    this.opts.response.end()
  }

  /** Ends the connection in the midst of the answer, so that nobody takes it for whole. */
  breakOff (): void {
    this.opts.response.destroy()
  }

  /** Answers with an error of the system's own, or breaks the answer off when it has begun. */
  sendError (error: PulleystackError, requestId: string | undefined): void {
    const { response } = this.opts
    if (response.headersSent) {
      this.breakOff()
      return
    }
    const body = JSON.stringify(error.renderBody(requestId))
    const headers: http.OutgoingHttpHeaders = { ...this.opts.ownHeaders, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
    const status = chooseStatus(error)
    if (RETRY_STATUSES.has(status)) headers['retry-after'] = formatSeconds(error.retryAfterSeconds ?? DEFAULT_RETRY_SECONDS)
    // What is left of a body that was not read would be taken for the next request.
    if (this.opts.mustClose() || !response.req.complete) headers['connection'] = 'close'
    const version = this.opts.readRelayVersion?.()
    if (version !== undefined) headers[RelayHeaders.VERSION] = String(version)
    if (error.code === 'CONFIG_OUTDATED') headers[RelayHeaders.OUTDATED] = '1'
    response.writeHead(status, headers)
    response.end(body)
  }

  private writeHead (answer: ExchangeAnswer, headers: string[]): void {
    if (this.opts.mustClose()) headers.push('Connection', 'close')
    const version = this.opts.readRelayVersion?.()
    if (version !== undefined) headers.push(RelayHeaders.VERSION, String(version))
    this.opts.response.writeHead(answer.status, answer.statusMessage, headers)
  }
}

/** 503 is a promise that the request has not run and never will; 502 and 504 promise nothing. */
export function chooseStatus (error: PulleystackError): number {
  const { status } = error.row
  if (status < 500) return status
  if (error.ran === Ran.NO) return 503
  return status === 504 ? 504 : 502
}

function formatSeconds (seconds: number): string {
  return String(Math.max(0, Math.round(seconds * 1000) / 1000))
}
