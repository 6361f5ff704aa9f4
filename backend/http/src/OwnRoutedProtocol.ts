import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'
import { RoutedProtocol, type ResponseFacts, type ForwardContext, type RoutedRequestFacts, type ServerStatus } from '@pulleystack/backend.interfaces'
import { describeUnreadable, listEndToEnd, parseRetryAfter } from '@pulleystack/core.headers'
import { Ran } from '@pulleystack/core.errors'
import { ATTEMPT_HEADER, RAN_HEADER } from './wire.js'

const DEADLINE_HEADER = 'pulleystack-deadline-ms'
const LAST_EVENT_HEADER = 'last-event-id'
const REFUSED = 503
/** Written anew, or the caller's secret. */
const LEFT_OUT = new Set([DEADLINE_HEADER, 'authorization', 'content-length', 'expect'])
const LEFT_OUT_ON_RELAY = new Set([DEADLINE_HEADER, 'content-length', 'expect'])
const LEFT_OUT_ON_RESUME = new Set([...LEFT_OUT, LAST_EVENT_HEADER])

/** Gives a routed request the id that its backend server must send back. */
export function assignAttempt (request: IncomingMessage, attempt: string): void {
  request.headers[ATTEMPT_HEADER] = attempt
  request.rawHeaders.push(ATTEMPT_HEADER, attempt)
}

/** The product's own marks on routed requests: the same headers as for plain services. */
export class OwnRoutedProtocol extends RoutedProtocol {
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
    const headers = listEndToEnd(rawHeaders, context.lastEventId === undefined ? LEFT_OUT : LEFT_OUT_ON_RESUME)
    headers.push(DEADLINE_HEADER, String(context.waitMs))
    if (context.lastEventId !== undefined) headers.push(LAST_EVENT_HEADER, context.lastEventId)
    if (context.bodyBytes !== undefined) headers.push('content-length', String(context.bodyBytes))
    return headers
  }

  override buildRelayHeaders (rawHeaders: readonly string[], waitMs: number | undefined): string[] {
    const headers = listEndToEnd(rawHeaders, LEFT_OUT_ON_RELAY)
    if (waitMs !== undefined) headers.push(DEADLINE_HEADER, String(waitMs))
    return headers
  }

  override readResponse (status: number, headers: IncomingHttpHeaders): ResponseFacts {
    const requestId = readText(headers[ATTEMPT_HEADER])
    const notRun = status === REFUSED && headers[RAN_HEADER] === Ran.NO
    return { requestId, signed: requestId !== undefined, notRun, serverStatus: status === REFUSED ? readRest(headers) : undefined }
  }

  override buildOwnHeaders (): Record<string, string> {
    return {}
  }
}

/** The rest that a server asks for by the header that HTTP has for it; undefined when it asks for none. */
function readRest (headers: IncomingHttpHeaders): ServerStatus | undefined {
  const value = headers['retry-after']
  if (value === undefined) return undefined
  const retryAfterMs = parseRetryAfter(value, headers.date)
  const unreadable = retryAfterMs === undefined ? describeUnreadable('retry-after', value) : undefined
  return { serverId: undefined, leaving: false, retryAfterMs, namesLimit: false, limitPerSecond: undefined, unreadable }
}

function readText (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}
