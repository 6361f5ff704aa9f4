import type http from 'node:http'
import type { ConfigObject, RepeatRule, ServiceSpec } from '@pulleystack/config.objects'
import { HeaderNames, parsePositiveIntegerHeader, parseYesNoHeader } from '@pulleystack/gateway.http'

const MAX_DEADLINE_MS = 3_600_000
const DEFAULT_LOOKUP_DEADLINE_MS = 10_000
const DEFAULT_DEADLINE_MS = 300_000
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])

/** A request of an authenticated caller. */
export interface RequestContext {
  id: string
  caller: ConfigObject<'Caller'>
  request: http.IncomingMessage
  response: http.ServerResponse
  url: URL
  /** Monotonic time of arrival, in milliseconds. */
  arrivedAt: number
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
}

/** Monotonic time by which the answer is needed: from the caller's header, else the service's setting, else the default of its class. */
export function computeDeadline (context: RequestContext, service: ServiceSpec): number {
  const requestedMs = parsePositiveIntegerHeader(context.request.headers, HeaderNames.DEADLINE, MAX_DEADLINE_MS)
  const defaultMs = service.deadlineMs ?? (service.class === 'lookup' ? DEFAULT_LOOKUP_DEADLINE_MS : DEFAULT_DEADLINE_MS)
  return context.arrivedAt + (requestedMs ?? defaultMs)
}

/** Whether the request may run more than once. A matching rule of the service applies unless the caller is stricter. */
export function isRepeatable (context: RequestContext, service: ServiceSpec, path: string): boolean {
  const method = context.request.method ?? 'GET'
  const requested = parseYesNoHeader(context.request.headers, HeaderNames.REPEATABLE)
  const rule = service.repeatRules?.find((it) => matchRepeatRule(it, method, path))
  if (rule) return rule.repeatable && requested !== false
  // Generation has no side effects; for plain services only safe methods are repeated.
  return requested ?? (service.type === 'model' || SAFE_METHODS.has(method))
}

function matchRepeatRule (rule: RepeatRule, method: string, path: string): boolean {
  return (rule.method === undefined || rule.method === method) && (rule.path === undefined || path.startsWith(rule.path))
}

/** Creates a signal that aborts when the caller's connection closes before the response is complete. */
export function createCallerSignal (response: http.ServerResponse): AbortSignal {
  const controller = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) controller.abort()
  })
  return controller.signal
}
