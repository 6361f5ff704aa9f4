import type http from 'node:http'
import type { PulleystackError } from '@pulleystack/core.errors'

/** Headers of the program's own, in lower case. */
export const Headers = {
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

/** Answers with an error, or cuts an answer that has begun so that nobody takes it for whole. */
export function sendError (response: http.ServerResponse, error: PulleystackError, requestId?: string): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const headers: http.OutgoingHttpHeaders = { [Headers.RAN]: error.ran }
  if (requestId !== undefined) headers[Headers.REQUEST] = requestId
  if (error.retryAfterSeconds !== undefined) headers['retry-after'] = String(Math.ceil(error.retryAfterSeconds))
  // What is left of a body that was not read would be taken for the next request.
  if (!response.req.complete) headers['connection'] = 'close'
  sendJson(response, error.row.status, error.renderBody(requestId), headers)
}
