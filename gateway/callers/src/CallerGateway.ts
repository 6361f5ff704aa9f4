import type http from 'node:http'
import { Kinds, type ConfigObject } from '@pulleystack/config.objects'
import type { ConfigIndex } from '@pulleystack/config.replica'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import { buildDirectoryAnswer, chooseSubset, computeSubsetSize } from '@pulleystack/directory.subset'
import { HeaderNames, type HeldBytes, parseBearerToken, sendError, sendJson } from '@pulleystack/gateway.http'
import { hashAccessKey } from '@pulleystack/core.hashing'
import type { Member, MembershipView } from '@pulleystack/membership.view'
import type { DemandMeter } from '@pulleystack/placement.demand'
import type { ClaimClient } from '@pulleystack/routing.claims'
import type { GenerationDispatcher, ServiceDispatcher } from '@pulleystack/routing.dispatch'
import type { RateLimiter } from '@pulleystack/routing.limiter'
import { EventKinds, type EventRing } from '@pulleystack/timeline.events'
import { handleCompletion } from './handleCompletion.js'
import { handleServiceCall } from './handleServiceCall.js'
import { relayRequest } from './relayRequest.js'
import { computeDeadline, createCallerSignal, type RequestContext } from './RequestContext.js'
import { findAllowedService, listAllowedModels } from './resolveTarget.js'

export interface CallerGatewayOptions {
  clock: Clock
  index: ConfigIndex
  view: MembershipView
  ring: EventRing
  claims: ClaimClient
  meter: DemandMeter
  rateLimiter: RateLimiter
  generations: GenerationDispatcher
  services: ServiceDispatcher
  maxBodyBytes: number
  /** Bounds what all callers together make this instance hold. */
  held: HeldBytes
  lifetimeSeconds: number
  leastInstances: number
  createId: () => string
  /** Called once for each finished request, to update metrics. */
  onFinished: (finished: FinishedRequest) => void
}

export interface FinishedRequest {
  partner: string
  route: string
  status: number
  code: string
  ms: number
}

const COMPLETION_PATHS: Readonly<Record<string, 'chat' | 'text'>> = { '/v1/chat/completions': 'chat', '/v1/completions': 'text' }

/** Serves the HTTP API for callers. */
export class CallerGateway {
  /** Number of requests that are being handled. */
  inFlight = 0

  constructor (private readonly opts: CallerGatewayOptions) {}

  /** Lists the instances that serve a service, highest ranked first. */
  listServingInstances (partner: string, service: string): Member[] {
    const requestsPerSecond = this.opts.index.findObject(Kinds.SERVICE, partner, service)?.spec.requestsPerSecond
    return chooseSubset(`${partner}/${service}`, this.opts.view.listEligible(), computeSubsetSize(requestsPerSecond, this.opts.leastInstances))
  }

  /** Handles one request; never throws. */
  async handle (request: http.IncomingMessage, response: http.ServerResponse, url: URL): Promise<void> {
    const id = this.opts.createId()
    const arrivedAt = this.opts.clock.readTime()
    let partner = ''
    let code = 'OK'
    this.inFlight++
    try {
      const caller = this.authenticate(request)
      partner = caller.partner
      this.opts.ring.record(EventKinds.REQUEST_ACCEPTED, { request: id, partner, note: `${request.method} ${url.pathname}` })
      await this.route({ id, caller, request, response, url, arrivedAt, signal: createCallerSignal(response) })
    } catch (thrown) {
      const error = convertToError(thrown)
      code = error.code
      if (!response.destroyed) sendError(response, error, id)
    } finally {
      this.inFlight--
    }
    const ms = this.opts.clock.readTime() - arrivedAt
    if (partner !== '') this.opts.ring.record(EventKinds.REQUEST_FINISHED, { request: id, partner, ms, note: code })
    this.opts.onFinished({ partner, route: describeRoute(url.pathname), status: response.statusCode, code, ms })
  }

  private authenticate (request: http.IncomingMessage): ConfigObject<'Caller'> {
    const key = parseBearerToken(request.headers)
    const caller = key === undefined ? undefined : this.opts.index.findCaller(hashAccessKey(key))
    // Looked up by its SHA-256 hash, so that response times don't reveal partially correct keys.
    if (caller) return caller
    throw new PulleystackError('ACCESS_KEY_WRONG', 'The access key is missing or invalid', { hint: 'Send it as "Authorization: Bearer KEY".' })
  }

  private async route (context: RequestContext): Promise<void> {
    const { pathname } = context.url
    const kind = COMPLETION_PATHS[pathname]
    if (kind) {
      checkMethod(context, 'POST')
      await handleCompletion({ ...this.opts, admit: (it, service, body) => this.admit(it, service, body) }, context, kind)
    } else if (pathname === '/v1/models') {
      checkMethod(context, 'GET')
      this.sendModels(context)
    } else if (pathname === '/v1/addresses') {
      checkMethod(context, 'GET')
      this.sendAddresses(context)
    } else if (pathname.startsWith('/services/')) {
      await handleServiceCall({ ...this.opts, admit: (it, service, body) => this.admit(it, service, body) }, context)
    } else throw new PulleystackError('NOT_FOUND', `No resource at ${pathname}`)
  }

  /** Relays a request for a service of other instances; otherwise checks rate limits. Returns true if another instance answered it. */
  private async admit (context: RequestContext, service: ConfigObject<'Service'>, body: Buffer | undefined): Promise<boolean> {
    const subset = this.listServingInstances(service.partner, service.name)
    const { self } = this.opts.view
    const isServedHere = subset.some((member) => member.instance === self.instance)
    if (!isServedHere && context.request.headers[HeaderNames.RELAYED] === undefined) {
      const relay = { clock: this.opts.clock, sender: self.instance, body, deadline: computeDeadline(context, service.spec) }
      for (const member of subset) {
        this.opts.ring.record(EventKinds.REQUEST_RELAYED, { request: context.id, server: member.instance })
        if (await relayRequest(context, member, relay)) return true
      }
    }
    this.checkRateLimits(context, service, Math.max(1, subset.length))
    return false
  }

  private checkRateLimits (context: RequestContext, service: ConfigObject<'Service'>, instanceCount: number): void {
    const { caller } = context
    const name = `${caller.partner}/${caller.name}`
    this.checkRateLimit(`caller ${name}`, caller.spec.requestsPerSecond, instanceCount)
    this.checkRateLimit(`service ${service.partner}/${service.name}`, service.spec.requestsPerSecond, instanceCount)
  }

  private checkRateLimit (name: string, perSecond: number | undefined, instanceCount: number): void {
    if (perSecond === undefined) return
    const waitSeconds = this.opts.rateLimiter.take(name, perSecond, instanceCount, this.opts.clock.readTime())
    if (waitSeconds > 0) throw new PulleystackError('RATE_EXCEEDED', `The rate limit of ${name} is exceeded`, { retryAfterSeconds: Math.max(1, waitSeconds) })
  }

  private sendModels (context: RequestContext): void {
    const data = listAllowedModels(this.opts.index, context.caller).map((id) => ({ id, object: 'model', owned_by: context.caller.partner }))
    sendJson(context.response, 200, { object: 'list', data })
  }

  private sendAddresses (context: RequestContext): void {
    const { searchParams } = context.url
    const service = searchParams.get('service')
    if (!service) throw new PulleystackError('BAD_BODY', 'Query parameter "service" is missing: /v1/addresses?service=NAME', { field: 'service' })
    findAllowedService(this.opts.index, context.caller, service)
    const { self } = this.opts.view
    sendJson(context.response, 200, buildDirectoryAnswer({
      service,
      members: this.listServingInstances(context.caller.partner, service),
      region: searchParams.get('region') ?? self.region,
      dataHall: searchParams.get('dataHall') ?? self.dataHall,
      lifetimeSeconds: this.opts.lifetimeSeconds,
    }))
  }
}

function checkMethod (context: RequestContext, method: string): void {
  if (context.request.method === method) return
  throw new PulleystackError('METHOD_NOT_ALLOWED', `${context.url.pathname} only allows ${method}`)
}

function describeRoute (path: string): string {
  if (path.startsWith('/services/')) return '/services'
  return path in COMPLETION_PATHS || path === '/v1/models' || path === '/v1/addresses' ? path : 'other'
}
