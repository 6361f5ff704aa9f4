import type http from 'node:http'
import { text } from 'node:stream/consumers'
import { pipeline } from 'node:stream/promises'
import type { ConfigObject } from '@pulleystack/config.objects'
import type { ConfigIndex } from '@pulleystack/config.replica'
import { PulleystackError } from '@pulleystack/core.errors'
import { cutResponse, HeaderNames, type HeldBytes, readBody, readHeldBody } from '@pulleystack/gateway.http'
import type { ServiceAnswer } from '@pulleystack/backend.interfaces'
import type { StoredOutcome } from '@pulleystack/routing.claims'
import type { ServiceDispatcher, ServiceRequest } from '@pulleystack/routing.dispatch'
import { computeDeadline, isRepeatable, type RequestContext } from './RequestContext.js'
import { findAllowedService } from './resolveTarget.js'
import { runOnce, type RunOnceOptions } from './runOnce.js'

export interface ServiceCallOptions extends RunOnceOptions {
  index: ConfigIndex
  services: ServiceDispatcher
  maxBodyBytes: number
  held: HeldBytes
  admit: (context: RequestContext, service: ConfigObject<'Service'>, body: Buffer | undefined) => Promise<boolean>
}

// Bodies up to this size are buffered, so that they can be sent again; larger ones are streamed and sent once.
const MAX_BUFFERED_BODY_BYTES = 256 << 10
const UNFORWARDED_REQUEST_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'authorization',
  'expect',
  'content-length',
  HeaderNames.RELAYED,
  HeaderNames.REPEATABLE,
  HeaderNames.DEADLINE,
])
const UNFORWARDED_RESPONSE_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'trailer', 'upgrade', 'pulleystack-attempt'])

/** Handles requests to /services/NAME/... with any method and body. */
export async function handleServiceCall (opts: ServiceCallOptions, context: RequestContext): Promise<void> {
  const { name, path } = parseServicePath(context.url)
  const service = findAllowedService(opts.index, context.caller, name)
  if (service.spec.type !== 'plain') {
    throw new PulleystackError('SERVICE_UNKNOWN', `Service "${name}" serves models`, { hint: 'Use /v1/chat/completions with one of its models.' })
  }
  const body = await readBufferedBody(context.request)
  if (await opts.admit(context, service, body)) return
  const work = buildWork(context, service, path, body)
  const key = context.request.headers[HeaderNames.IDEMPOTENCY]
  if (work.repeatable || typeof key !== 'string') {
    if (!work.repeatable && service.spec.requireKey) {
      throw new PulleystackError('KEY_MISSING', `Service "${name}" requires an Idempotency-Key for this call`, { field: 'idempotency-key' })
    }
    await sendResponse(context, await opts.services.run(work))
    return
  }
  await runWithKey(opts, context, work, key)
}

/** True when the whole body is small enough to be kept; a longer one is left in the stream. */
async function readBufferedBody (request: http.IncomingMessage): Promise<Buffer | undefined> {
  const length = request.headers['content-length']
  if (length === undefined && request.headers['transfer-encoding'] === undefined) return Buffer.alloc(0)
  if (length === undefined || Number(length) > MAX_BUFFERED_BODY_BYTES) return undefined
  return readBody(request, MAX_BUFFERED_BODY_BYTES)
}

function parseServicePath (url: URL): { name: string, path: string } {
  const [, , name, ...rest] = url.pathname.split('/')
  if (!name) throw new PulleystackError('NOT_FOUND', 'The path must be /services/NAME/...')
  return { name: decodeName(name), path: `/${rest.join('/')}${url.search}` }
}

function decodeName (name: string): string {
  try {
    return decodeURIComponent(name)
  } catch {
    throw new PulleystackError('NOT_FOUND', 'The service name in the path is not valid percent-encoding')
  }
}

function buildWork (context: RequestContext, service: ConfigObject<'Service'>, path: string, body: Buffer | undefined): ServiceRequest {
  const method = context.request.method ?? 'GET'
  return {
    request: context.id,
    partner: context.caller.partner,
    service: service.name,
    serviceClass: service.spec.class,
    deadline: computeDeadline(context, service.spec),
    repeatable: isRepeatable(context, service.spec, path),
    signal: context.signal,
    method,
    path,
    headers: filterHeaders(context.request.headers, UNFORWARDED_REQUEST_HEADERS),
    body: body === undefined ? context.request : body.length > 0 ? body : undefined,
  }
}

async function runWithKey (opts: ServiceCallOptions, context: RequestContext, work: ServiceRequest, key: string): Promise<void> {
  const readRest = (): Promise<Buffer> => readHeldBody(context.request, opts.maxBodyBytes, opts.held)
  const body = Buffer.isBuffer(work.body) ? work.body : work.body === undefined ? Buffer.alloc(0) : await readRest()
  const detachedWork = { ...work, body: body.length > 0 ? body : undefined, signal: new AbortController().signal }
  const keyedRequest = {
    request: context.id,
    partner: work.partner,
    caller: context.caller.name,
    key,
    method: work.method,
    path: work.path,
    body,
    deadline: work.deadline,
    signal: context.signal,
  }
  const outcome = await runOnce(opts, keyedRequest, async () => collectOutcome(await opts.services.run(detachedWork)))
  if (context.response.destroyed) return
  const headers = { 'content-type': outcome.contentType, 'content-length': Buffer.byteLength(outcome.body ?? ''), [HeaderNames.REQUEST]: context.id }
  context.response.writeHead(outcome.status, headers)
  context.response.end(outcome.body)
}

async function collectOutcome (serviceResponse: ServiceAnswer): Promise<StoredOutcome> {
  const contentType = serviceResponse.headers['content-type'] ?? 'application/octet-stream'
  if (Buffer.isBuffer(serviceResponse.body)) return { status: serviceResponse.status, contentType, body: serviceResponse.body.toString() }
  try {
    return { status: serviceResponse.status, contentType, body: await text(serviceResponse.body) }
  } catch (cause) {
    throw new PulleystackError('ANSWER_BROKEN', 'The response ended before it was complete', { cause })
  }
}

async function sendResponse (context: RequestContext, serviceResponse: ServiceAnswer): Promise<void> {
  const { response } = context
  const headers = filterHeaders(serviceResponse.headers, UNFORWARDED_RESPONSE_HEADERS)
  headers[HeaderNames.REQUEST] = context.id
  response.writeHead(serviceResponse.status, headers)
  if (Buffer.isBuffer(serviceResponse.body)) {
    response.end(serviceResponse.body)
    return
  }
  try {
    await pipeline(serviceResponse.body, response)
  } catch (cause) {
    cutResponse(response)
    throw new PulleystackError('ANSWER_BROKEN', 'The response was interrupted while it was sent to the caller', { cause })
  }
}

function filterHeaders (headers: http.IncomingHttpHeaders, excluded: ReadonlySet<string>): Record<string, string | string[]> {
  const filtered: Record<string, string | string[]> = {}
  const connectionHeaders = parseConnectionHeader(headers.connection)
  for (const name in headers) {
    const value = headers[name]
    if (value !== undefined && !excluded.has(name) && !connectionHeaders?.has(name)) filtered[name] = value
  }
  return filtered
}

/** Lists the hop-by-hop headers that a Connection header names. */
function parseConnectionHeader (connection: string | undefined): Set<string> | undefined {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return undefined
  return new Set(connection.toLowerCase().split(',').map((name) => name.trim()))
}
