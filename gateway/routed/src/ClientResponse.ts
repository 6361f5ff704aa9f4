import type http from 'node:http'
import type { PulleystackError } from '@pulleystack/core.errors'
import { Ran } from '@pulleystack/core.errors'
import { filterEndToEndHeaders } from '@pulleystack/core.headers'
import { cutResponse } from '@pulleystack/gateway.http'
import type { StreamOrigin } from '@pulleystack/routing.fleet'
import type { ExchangeResponse } from '@pulleystack/routing.forward'
import { ForwardHeaders, RELAY_HEADER_NAMES, RelayHeaders, formatOrigin } from './relayHeaders.js'

const OMITTED_HEADERS = new Set<string>(['content-length', ...RELAY_HEADER_NAMES])
const DEFAULT_RETRY_SECONDS = 0.25
/** Statuses that are sent with a Retry-After header. */
const RETRY_STATUSES: ReadonlySet<number> = new Set([429, 503])

export interface ClientResponseOptions {
  response: http.ServerResponse
  ownHeaders: Record<string, string>
  /** Reads the configuration version to report to the instance that relayed the request; undefined for a direct request. */
  readRelayVersion?: () => number | undefined
  /** Reads where the stream began, for the instance that forwarded the request; undefined for a direct request. */
  readOrigin?: () => StreamOrigin | undefined
  /** Whether the connection has to close after this response. */
  mustClose: () => boolean
}

/** The response to one client. An incomplete response is never made to look complete. */
export class ClientResponse {
  constructor (private readonly opts: ClientResponseOptions) {}

  get hasBegun (): boolean {
    return this.opts.response.headersSent
  }

  /** Sends a complete response of a backend server. */
  sendBuffered (response: ExchangeResponse, body: Buffer): void {
    const headers = filterEndToEndHeaders(response.rawHeaders, OMITTED_HEADERS)
    if (response.status !== 204 && response.status !== 304) headers.push('Content-Length', String(body.length))
    this.writeHead(response, headers)
    this.opts.response.end(body)
  }

  /** Sends the head of a streamed response. */
  beginStream (response: ExchangeResponse): void {
    this.writeHead(response, filterEndToEndHeaders(response.rawHeaders, OMITTED_HEADERS))
  }

  /** Returns false when the caller should wait for `onDrain` before writing more. */
  write (bytes: Buffer): boolean {
    return this.opts.response.write(bytes)
  }

  /** Calls `resume` once the connection has drained. */
  onDrain (resume: () => void): void {
    this.opts.response.once('drain', resume)
  }

  endStream (): void {
    this.opts.response.end()
  }

  /** Closes the connection, so that the client does not take the response for complete. */
  destroy (): void {
    cutResponse(this.opts.response)
  }

  /** Sends an error response, or closes the connection when a response has begun. */
  sendError (error: PulleystackError, requestId: string | undefined): void {
    const { response } = this.opts
    if (response.headersSent) {
      this.destroy()
      return
    }
    const body = JSON.stringify(error.renderBody(requestId))
    const headers: http.OutgoingHttpHeaders = { ...this.opts.ownHeaders, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
    const status = chooseStatus(error)
    if (RETRY_STATUSES.has(status)) headers['retry-after'] = formatSeconds(error.retryAfterSeconds ?? DEFAULT_RETRY_SECONDS)
    // The unread rest of a request body would be parsed as the next request.
    if (this.opts.mustClose() || !response.req.complete) headers['connection'] = 'close'
    const version = this.opts.readRelayVersion?.()
    if (version !== undefined) headers[RelayHeaders.VERSION] = String(version)
    if (error.code === 'CONFIG_OUTDATED') headers[RelayHeaders.OUTDATED] = '1'
    response.writeHead(status, headers)
    response.end(body)
  }

  private writeHead (response: ExchangeResponse, headers: string[]): void {
    if (this.opts.mustClose()) headers.push('Connection', 'close')
    const version = this.opts.readRelayVersion?.()
    if (version !== undefined) headers.push(RelayHeaders.VERSION, String(version))
    const origin = this.opts.readOrigin?.()
    if (origin) headers.push(ForwardHeaders.ORIGIN, formatOrigin(origin))
    this.opts.response.writeHead(response.status, response.statusMessage, headers)
  }
}

/** 503 guarantees that the request has not run and never will; 502 and 504 guarantee nothing. */
export function chooseStatus (error: PulleystackError): number {
  const { status } = error.resultCode
  if (status < 500) return status
  if (error.ran === Ran.NO) return 503
  return status === 504 ? 504 : 502
}

function formatSeconds (seconds: number): string {
  return String(Math.max(0, Math.round(seconds * 1000) / 1000))
}
