import type http from 'node:http'
import { text } from 'node:stream/consumers'
import { pipeline } from 'node:stream/promises'
import type { ConfigObject } from '@pulleystack/config.objects'
import type { ConfigIndex } from '@pulleystack/config.replica'
import { PulleystackError } from '@pulleystack/core.errors'
import { Headers, readBody } from '@pulleystack/gateway.http'
import type { ServiceAnswer } from '@pulleystack/backend.interfaces'
import type { KeptOutcome } from '@pulleystack/routing.claims'
import type { ServiceDispatcher, ServiceWork } from '@pulleystack/routing.dispatch'
import { readDeadline, readRepeatable, type RequestContext } from './RequestContext.js'
import { findAllowedService } from './resolveTarget.js'
import { runOnce, type RunOnceOptions } from './runOnce.js'

export interface ServiceCallOptions extends RunOnceOptions {
  index: ConfigIndex
  services: ServiceDispatcher
  maxBodyBytes: number
  admit: (context: RequestContext, service: ConfigObject<'Service'>, body: Buffer | undefined) => Promise<boolean>
}

// Bodies up to this size are kept, so that they can be sent again; larger ones stream through once.
const MAX_KEPT_BODY = 256 << 10
const HOP_HEADERS = new Set([
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
  Headers.RELAYED,
  Headers.REPEATABLE,
  Headers.DEADLINE,
])
const ANSWER_HOP_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'trailer', 'upgrade', 'pulleystack-attempt'])

/** Answers /services/NAME/...: any method and body, streamed both ways. */
export async function handleServiceCall (opts: ServiceCallOptions, context: RequestContext): Promise<void> {
  const { name, path } = parseServicePath(context.url)
  const service = findAllowedService(opts.index, context.caller, name)
  if (service.spec.type !== 'plain') {
    throw new PulleystackError('SERVICE_UNKNOWN', `"${name}" is a service of models`, { hint: 'Use /v1/chat/completions with one of its models.' })
  }
  const body = await readKeptBody(context.request)
  if (await opts.admit(context, service, body)) return
  const work = buildWork(context, service, path, body)
  const key = context.request.headers[Headers.IDEMPOTENCY]
  if (work.repeatable || typeof key !== 'string') {
    if (!work.repeatable && service.spec.requireKey) {
      throw new PulleystackError('KEY_MISSING', `Service "${name}" asks for an Idempotency-Key on this call`, { field: 'idempotency-key' })
    }
    await passOn(context, await opts.services.run(work))
    return
  }
  await runKeyed(opts, context, work, key)
}

/** True when the whole body is small enough to be kept; a longer one is left in the stream. */
async function readKeptBody (request: http.IncomingMessage): Promise<Buffer | undefined> {
  const length = request.headers['content-length']
  if (length === undefined && request.headers['transfer-encoding'] === undefined) return Buffer.alloc(0)
  if (length === undefined || Number(length) > MAX_KEPT_BODY) return undefined
  return readBody(request, MAX_KEPT_BODY)
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
    throw new PulleystackError('NOT_FOUND', 'The name of the service cannot be read')
  }
}

function buildWork (context: RequestContext, service: ConfigObject<'Service'>, path: string, body: Buffer | undefined): ServiceWork {
  const method = context.request.method ?? 'GET'
  return {
    request: context.id,
    partner: context.caller.partner,
    service: service.name,
    serviceClass: service.spec.class,
    deadline: readDeadline(context, service.spec),
    repeatable: readRepeatable(context, service.spec, path),
    signal: context.signal,
    method,
    path,
    headers: filterHeaders(context.request.headers, HOP_HEADERS),
    body: body === undefined ? context.request : body.length > 0 ? body : undefined,
  }
}

async function runKeyed (opts: ServiceCallOptions, context: RequestContext, work: ServiceWork, key: string): Promise<void> {
  const body = Buffer.isBuffer(work.body) ? work.body : work.body === undefined ? Buffer.alloc(0) : await readBody(context.request, opts.maxBodyBytes)
  const lasting = { ...work, body: body.length > 0 ? body : undefined, signal: new AbortController().signal }
  const once = {
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
  const outcome = await runOnce(opts, once, async () => collectOutcome(await opts.services.run(lasting)))
  if (context.response.destroyed) return
  const headers = { 'content-type': outcome.contentType, 'content-length': Buffer.byteLength(outcome.body ?? ''), [Headers.REQUEST]: context.id }
  context.response.writeHead(outcome.status, headers)
  context.response.end(outcome.body)
}

async function collectOutcome (answer: ServiceAnswer): Promise<KeptOutcome> {
  const contentType = answer.headers['content-type'] ?? 'application/octet-stream'
  if (Buffer.isBuffer(answer.body)) return { status: answer.status, contentType, body: answer.body.toString() }
  try {
    return { status: answer.status, contentType, body: await text(answer.body) }
  } catch (cause) {
    throw new PulleystackError('ANSWER_BROKEN', 'The answer broke off', { cause })
  }
}

async function passOn (context: RequestContext, answer: ServiceAnswer): Promise<void> {
  const { response } = context
  const headers = filterHeaders(answer.headers, ANSWER_HOP_HEADERS)
  headers[Headers.REQUEST] = context.id
  response.writeHead(answer.status, headers)
  if (Buffer.isBuffer(answer.body)) {
    response.end(answer.body)
    return
  }
  try {
    await pipeline(answer.body, response)
  } catch (cause) {
    response.destroy()
    throw new PulleystackError('ANSWER_BROKEN', 'The answer broke off on its way', { cause })
  }
}

function filterHeaders (headers: http.IncomingHttpHeaders, dropped: ReadonlySet<string>): Record<string, string | string[]> {
  const kept: Record<string, string | string[]> = {}
  const named = parseConnection(headers.connection)
  for (const name in headers) {
    const value = headers[name]
    if (value !== undefined && !dropped.has(name) && !named?.has(name)) kept[name] = value
  }
  return kept
}

/** Headers that hold for one connection only, as the other side names them. */
function parseConnection (connection: string | undefined): Set<string> | undefined {
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return undefined
  return new Set(connection.toLowerCase().split(',').map((name) => name.trim()))
}
