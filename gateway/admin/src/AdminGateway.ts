import type http from 'node:http'
import type { Operator } from '@pulleystack/config.admission'
import { Kinds, parseConfigObject, PLATFORM_PARTNER, type ConfigObject, type Kind } from '@pulleystack/config.objects'
import type { ConfigIndex, ConfigReplica } from '@pulleystack/config.replica'
import type { OperatorSetting } from '@pulleystack/config.settings'
import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import { type HeldBytes, parseBearerToken, parseJsonBody, readHeldBody, sendError, sendJson } from '@pulleystack/gateway.http'
import { isMatchingKey } from '@pulleystack/membership.keys'
import type { TimelineEvent } from '@pulleystack/timeline.events'
import { isVisibleToPartner, type TimelineFilter } from '@pulleystack/timeline.merge'
import type { ConfigWriter } from './ConfigWriter.js'
import type { Explanation } from './explainRequest.js'
import type { RouteExplanation } from './explainRoute.js'

export interface AdminGatewayOptions {
  operators: readonly OperatorSetting[]
  index: ConfigIndex
  replica: ConfigReplica
  writer: ConfigWriter
  maxBodyBytes: number
  held: HeldBytes
  collectTimeline: (filter: TimelineFilter) => Promise<TimelineEvent[]>
  collectStatus: () => Promise<unknown>
  explain: (partner: string, caller: string, target: { model?: string, service?: string }) => Promise<Explanation>
  /** Explains only routes of `partner`; any route when it is undefined. */
  explainRoute: (partner: string | undefined, host: string, path: string) => RouteExplanation
}

interface AdminRequest {
  operator: Operator
  request: http.IncomingMessage
  url: URL
}

type AdminHandler = (admin: AdminRequest) => Promise<unknown>

/** Serves the HTTP API for operators under /admin. An operator can see and change only the objects of its own partner. */
export class AdminGateway {
  private readonly routes: Readonly<Record<string, AdminHandler>> = {
    'POST /admin/apply': (admin) => this.apply(admin),
    'POST /admin/label': (admin) => this.label(admin),
    'GET /admin/objects': (admin) => this.list(admin),
    'DELETE /admin/objects': (admin) => this.remove(admin),
    'GET /admin/status': (admin) => this.readStatus(admin),
    'GET /admin/explain': (admin) => this.explain(admin),
    'GET /admin/explain-route': (admin) => this.explainRoute(admin),
    'GET /admin/timeline': (admin) => this.readTimeline(admin),
  }

  constructor (private readonly opts: AdminGatewayOptions) {}

  /** Handles one request; never throws. */
  async handle (request: http.IncomingMessage, response: http.ServerResponse, url: URL): Promise<void> {
    try {
      const operator = this.authenticate(request)
      const handler = this.routes[`${request.method} ${url.pathname}`]
      if (!handler) throw new PulleystackError('NOT_FOUND', `No resource at ${request.method} ${url.pathname}`)
      sendJson(response, 200, await handler({ operator, request, url }))
    } catch (thrown) {
      if (!response.destroyed) sendError(response, convertToError(thrown))
    }
  }

  private authenticate (request: http.IncomingMessage): Operator {
    const key = parseBearerToken(request.headers)
    // Compares with every operator, so that response times don't reveal a partial match.
    const matches = key === undefined ? [] : this.opts.operators.filter((operator) => isMatchingKey(key, operator.keyHashes))
    const operator = matches[0]
    if (operator) return { name: operator.name, partner: operator.partner }
    throw new PulleystackError('ACCESS_KEY_WRONG', 'The operator key is missing or invalid', { hint: 'Set PULLEYSTACK_KEY or pass --key.' })
  }

  private async apply (admin: AdminRequest): Promise<unknown> {
    const body = parseJsonBody(await readHeldBody(admin.request, this.opts.maxBodyBytes, this.opts.held))
    const objects = Array.isArray(body.objects) ? body.objects as unknown[] : []
    if (objects.length === 0) throw new PulleystackError('BAD_BODY', 'Field "objects" must be a non-empty array of objects', { field: 'objects' })
    const parsed = objects.map((object) => parseConfigObject(object))
    for (const result of parsed) {
      if (result.isErr()) throw result.error
    }
    const dryRun = body.dryRun === true
    const expectedVersion = typeof body.expectedVersion === 'number' ? body.expectedVersion : undefined
    const results = []
    for (const result of parsed) {
      if (result.isOk()) results.push(await this.applyOne(result.value, admin.operator, { dryRun, expectedVersion }, results.length))
    }
    return { dryRun, results }
  }

  private async applyOne (object: ConfigObject, operator: Operator, opts: { dryRun: boolean, expectedVersion?: number }, appliedCount: number) {
    try {
      return await this.opts.writer.apply(object, operator, opts)
    } catch (thrown) {
      const error = convertToError(thrown)
      // Objects before the failed one stay applied, so the message says how many.
      const message = `${object.kind} ${object.name}: ${error.message}${appliedCount > 0 ? ` (${appliedCount} objects before it were already applied)` : ''}`
      throw new PulleystackError(error.code, message, { field: error.field, hint: error.hint, details: error.details, ran: error.ran, cause: error })
    }
  }

  private async label (admin: AdminRequest): Promise<unknown> {
    const body = parseJsonBody(await readHeldBody(admin.request, this.opts.maxBodyBytes, this.opts.held))
    const labels = body.labels
    if (typeof labels !== 'object' || labels === null) throw new PulleystackError('BAD_BODY', 'Field "labels" must be an object', { field: 'labels' })
    return this.opts.writer.label(readTarget(body), labels as Record<string, string | null>, admin.operator)
  }

  private async remove (admin: AdminRequest): Promise<unknown> {
    const params = Object.fromEntries(admin.url.searchParams)
    const version = params.version === undefined ? undefined : Number(params.version)
    return this.opts.writer.remove(readTarget(params), admin.operator, version)
  }

  private async list (admin: AdminRequest): Promise<unknown> {
    const { searchParams } = admin.url
    const objects = [...this.opts.replica.listObjects()].filter((object) => canSee(admin.operator, object) && matchQuery(object, searchParams))
    objects.sort((a, b) => `${a.kind}/${a.partner}/${a.name}`.localeCompare(`${b.kind}/${b.partner}/${b.name}`))
    return { objects: objects.map((object) => ({ ...object, version: this.opts.index.getVersion(object.kind, object.partner, object.name) })) }
  }

  private async readStatus (admin: AdminRequest): Promise<unknown> {
    const { partner } = admin.operator
    const visibleRejections = this.opts.replica.listRejections().filter((it) => partner === PLATFORM_PARTNER || it.key.split('/')[2] === partner)
    const rejected = visibleRejections.map(({ key, version, error }) => ({ key, version, error: error.message, field: error.field }))
    return { instances: await this.opts.collectStatus(), rejected }
  }

  private async explain (admin: AdminRequest): Promise<unknown> {
    const { searchParams } = admin.url
    const partner = searchParams.get('partner') ?? admin.operator.partner
    if (partner !== admin.operator.partner && admin.operator.partner !== PLATFORM_PARTNER) throw createAccessDeniedError(partner)
    const target = { model: searchParams.get('model') ?? undefined, service: searchParams.get('service') ?? undefined }
    return this.opts.explain(partner, searchParams.get('caller') ?? '', target)
  }

  private async explainRoute (admin: AdminRequest): Promise<unknown> {
    const { searchParams } = admin.url
    const { partner } = admin.operator
    return this.opts.explainRoute(partner === PLATFORM_PARTNER ? undefined : partner, searchParams.get('host') ?? '', searchParams.get('path') ?? '/')
  }

  private async readTimeline (admin: AdminRequest): Promise<unknown> {
    const params = Object.fromEntries(admin.url.searchParams)
    const { request, order, object, partner, server, model } = params
    const filter: TimelineFilter = { request, order, object, partner, server, model, limit: params.limit === undefined ? undefined : Number(params.limit) }
    const events = await this.opts.collectTimeline(filter)
    return { events: admin.operator.partner === PLATFORM_PARTNER ? events : events.filter((event) => isVisibleToPartner(event, admin.operator.partner)) }
  }
}

function readTarget (fields: Record<string, unknown>): { kind: Kind, partner: string, name: string } {
  const { kind, partner, name } = fields
  if (!(Object.values(Kinds) as unknown[]).includes(kind)) throw new PulleystackError('BAD_BODY', `Unknown kind "${String(kind)}"`, { field: 'kind', hint: Object.values(Kinds).join(', ') })
  if (typeof partner !== 'string' || typeof name !== 'string') throw new PulleystackError('BAD_BODY', '"partner" and "name" must be strings', { field: 'name' })
  return { kind: kind as Kind, partner, name }
}

/** Operators of the platform see all objects; others see those of their partner, including its quotas. */
function canSee (operator: Operator, object: ConfigObject): boolean {
  return operator.partner === PLATFORM_PARTNER || object.partner === operator.partner
}

function matchQuery (object: ConfigObject, params: URLSearchParams): boolean {
  return (['kind', 'partner', 'name'] as const).every((field) => !params.has(field) || params.get(field) === object[field])
}

function createAccessDeniedError (partner: string): PulleystackError {
  return new PulleystackError('ACCESS_DENIED', `This operator has no access to objects of "${partner}"`)
}
