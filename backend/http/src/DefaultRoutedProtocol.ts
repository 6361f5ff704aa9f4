import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import { RoutedProtocol, type ResponseFacts, type ForwardContext, type RoutedRequestFacts, type ServerStatus } from '@pulleystack/backend.interfaces'
import { formatInvalidHeader, filterEndToEndHeaders, parseRetryAfter } from '@pulleystack/core.headers'
import { Ran } from '@pulleystack/core.errors'
import { ATTEMPT_HEADER, RAN_HEADER } from './wire.js'

const DEADLINE_HEADER = 'pulleystack-deadline-ms'
const LAST_EVENT_HEADER = 'last-event-id'
const SERVICE_UNAVAILABLE = 503
/** Headers that the system sets itself, and the caller's credentials. */
const NOT_FORWARDED = new Set([DEADLINE_HEADER, 'authorization', 'content-length', 'expect'])
const NOT_RELAYED = new Set([DEADLINE_HEADER, 'content-length', 'expect'])
const NOT_RELAYED_ON_RESUME = new Set<string>([...NOT_RELAYED, LAST_EVENT_HEADER])
const NOT_FORWARDED_ON_RESUME = new Set([...NOT_FORWARDED, LAST_EVENT_HEADER])

/** Adds the attempt id to a routed request. The backend server must return it with its response. */
export function assignAttempt (request: IncomingMessage, attempt: string): void {
  request.headers[ATTEMPT_HEADER] = attempt
  request.rawHeaders.push(ATTEMPT_HEADER, attempt)
}

/** The default protocol for routed requests, with the same headers as for plain services. */
export class DefaultRoutedProtocol extends RoutedProtocol {
  override readRequest (headers: IncomingHttpHeaders): RoutedRequestFacts {
    const waitMs = Number(headers[DEADLINE_HEADER])
    return {
      requestId: readText(headers[ATTEMPT_HEADER]),
      waitMs: Number.isFinite(waitMs) ? waitMs : undefined,
      generation: undefined,
      lastEventId: readText(headers[LAST_EVENT_HEADER]),
    }
  }

  override buildForwardHeaders (rawHeaders: readonly string[], context: ForwardContext): string[] {
    const headers = filterEndToEndHeaders(rawHeaders, context.lastEventId === undefined ? NOT_FORWARDED : NOT_FORWARDED_ON_RESUME)
    headers.push(DEADLINE_HEADER, String(context.waitMs))
    if (context.lastEventId !== undefined) headers.push(LAST_EVENT_HEADER, context.lastEventId)
    if (context.bodyBytes !== undefined) headers.push('content-length', String(context.bodyBytes))
    return headers
  }

  override buildRelayHeaders (rawHeaders: readonly string[], waitMs: number | undefined, lastEventId?: string): string[] {
    const headers = filterEndToEndHeaders(rawHeaders, lastEventId === undefined ? NOT_RELAYED : NOT_RELAYED_ON_RESUME)
    if (waitMs !== undefined) headers.push(DEADLINE_HEADER, String(waitMs))
    if (lastEventId !== undefined) headers.push(LAST_EVENT_HEADER, lastEventId)
    return headers
  }

  override readResponse (status: number, headers: IncomingHttpHeaders): ResponseFacts {
    const requestId = readText(headers[ATTEMPT_HEADER])
    const notRun = status === SERVICE_UNAVAILABLE && headers[RAN_HEADER] === Ran.NO
    return {
      requestId,
      isConfirmedByServer: requestId !== undefined,
      notRun,
      serverStatus: status === SERVICE_UNAVAILABLE ? readBackoffRequest(headers) : undefined,
    }
  }

  override buildOwnHeaders (): Record<string, string> {
    return {}
  }
}

/** Reads the pause that a server requests by a Retry-After header; undefined if it requests none. */
function readBackoffRequest (headers: IncomingHttpHeaders): ServerStatus | undefined {
  const value = headers['retry-after']
  if (value === undefined) return undefined
  const retryAfterMs = parseRetryAfter(value, headers.date)
  const invalidHeader = retryAfterMs === undefined ? formatInvalidHeader('retry-after', value) : undefined
  return { serverId: undefined, leaving: false, retryAfterMs, hasLimit: false, limitPerSecond: undefined, invalidHeader }
}

function readText (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}
