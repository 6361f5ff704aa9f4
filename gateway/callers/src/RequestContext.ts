import type http from 'node:http'
import type { ConfigObject, RepeatRule, ServiceSpec } from '@pulleystack/config.objects'
import { Headers, parsePositiveHeader, parseRepeatable } from '@pulleystack/gateway.http'

const MAX_DEADLINE_MS = 3_600_000
const DEFAULT_LOOKUP_MS = 10_000
const DEFAULT_WORK_MS = 300_000
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])

/** One request of an authenticated caller. */
export interface RequestContext {
  id: string
  caller: ConfigObject<'Caller'>
  request: http.IncomingMessage
  response: http.ServerResponse
  url: URL
  /** Monotone time of arrival. */
  since: number
  /** Ends when the caller goes away. */
  signal: AbortSignal
}

/** When the answer is of no more use: as the caller says, or the service, or the class. */
export function readDeadline (context: RequestContext, service: ServiceSpec): number {
  const stated = parsePositiveHeader(context.request.headers, Headers.DEADLINE, MAX_DEADLINE_MS)
  const usual = service.deadlineMs ?? (service.class === 'lookup' ? DEFAULT_LOOKUP_MS : DEFAULT_WORK_MS)
  return context.since + (stated ?? usual)
}

/** Whether the request may run more than once: the stricter of what the caller and the service say. */
export function readRepeatable (context: RequestContext, service: ServiceSpec, path: string): boolean {
  const method = context.request.method ?? 'GET'
  const stated = parseRepeatable(context.request.headers, Headers.REPEATABLE)
  const rule = service.repeatRules?.find((it) => matchRule(it, method, path))
  if (rule) return rule.repeatable && stated !== false
  // Generation has no effect outside; for plain services only methods without effect are safe.
  return stated ?? (service.type === 'model' || SAFE_METHODS.has(method))
}

function matchRule (rule: RepeatRule, method: string, path: string): boolean {
  return (rule.method === undefined || rule.method === method) && (rule.path === undefined || path.startsWith(rule.path))
}

/** A signal that ends when the caller's connection does before the answer is whole. */
export function createCallerSignal (response: http.ServerResponse): AbortSignal {
  const abort = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) abort.abort()
  })
  return abort.signal
}
