import type http from 'node:http'
import type { PulleystackError } from '@pulleystack/core.errors'

/** Names of the headers that this program defines, in lower case. */
export const HeaderNames = {
  REQUEST: 'pulleystack-request',
  RAN: 'pulleystack-ran',
  REPEATABLE: 'pulleystack-repeatable',
  DEADLINE: 'pulleystack-deadline-ms',
  RELAYED: 'pulleystack-relayed',
  IDEMPOTENCY: 'idempotency-key',
} as const

export function sendJson (response: http.ServerResponse, status: number, value: unknown, headers: http.OutgoingHttpHeaders = {}): void {
  const body = JSON.stringify(value)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers })
  response.end(body)
}

/**
 * Closes the connection of a response that is not complete. Without chunks, as for HTTP/1.0, a regular close would end the response, so that the
 * connection is reset.
 */
export function cutResponse (response: http.ServerResponse): void {
  if (response.headersSent && !response.chunkedEncoding) response.socket?.resetAndDestroy()
  response.destroy()
}

/** Sends an error response. If a response has already started, destroys its connection so that the client can tell it is incomplete. */
export function sendError (response: http.ServerResponse, error: PulleystackError, requestId?: string): void {
  if (response.headersSent) {
    cutResponse(response)
    return
  }
  const headers: http.OutgoingHttpHeaders = { [HeaderNames.RAN]: error.ran }
  if (requestId !== undefined) headers[HeaderNames.REQUEST] = requestId
  if (error.retryAfterSeconds !== undefined) headers['retry-after'] = String(Math.ceil(error.retryAfterSeconds))
  // Unread bytes of the body would be parsed as the next request on this connection.
  if (!response.req.complete) headers['connection'] = 'close'
  sendJson(response, error.resultCode.status, error.renderBody(requestId), headers)
}
