import type http from 'node:http'
import type { RoutedProtocol, RoutedRequestFacts } from '@pulleystack/backend.interfaces'
import { chooseTarget, type Route, type RouteTable, type Team } from '@pulleystack/config.routes'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import { filterEndToEndHeaders } from '@pulleystack/core.headers'
import { waitForReads } from '@pulleystack/core.listeners'
import { cutResponse, type Holding } from '@pulleystack/gateway.http'
import type { ResidencyClient } from '@pulleystack/placement.residency'
import { RetryEstimator } from '@pulleystack/routing.admission'
import type { StreamOrigin } from '@pulleystack/routing.fleet'
import type { StreamOrigins } from '@pulleystack/routing.origins'
import { DecisionKinds, type DecisionFacts } from '@pulleystack/timeline.decisions'
import { ClientResponse, chooseStatus } from './ClientResponse.js'
import { DeadlineTimer } from './DeadlineTimer.js'
import { findTeam } from './findTeam.js'
import type { QuotaGate, QuotaUse } from './QuotaGate.js'
import { createStreamProgress, type StreamProgress } from './relayStream.js'
import { estimateGeneration, type RoutedWork } from './RoutedWork.js'
import { UnfinishedRequest, type UnfinishedFacts } from './UnfinishedRequest.js'
import type { InstanceRelay } from './InstanceRelay.js'
import { ForwardHeaders, RELAY_HEADER_NAMES, readForwarded, readHop, readMinVersion, type ForwardedRequest } from './relayHeaders.js'
import { RequestBudget } from './RequestBudget.js'
import { createRequestAborter, waitUnlessAborted, waitUntilSent, type RequestAborter } from './RequestAborter.js'
import { readRequestBody } from './readRequestBody.js'
import { runRequest, type RunOptions } from './runRequest.js'

const UNCONFIGURED_RETRY_SECONDS = 0.5
/** Time for this instance to receive the newest configuration. */
const OUTDATED_RETRY_SECONDS = 0.5
/** Time for instances that could not be asked where a stream began to be reachable again. */
const UNKNOWN_ORIGIN_RETRY_SECONDS = 0.5
const CLIENT_CLOSED_STATUS = 499
/** Time limit for relaying a request whose route has none that is known here. */
const RELAY_TIMEOUT_MS = 30_000
/** The serving instance enforces the configured limit. */
const MAX_RELAY_BODY_BYTES = 32 << 20
/** Time after which the connection of a client that does not read a finished response is closed. */
const UNREAD_RESPONSE_TIMEOUT_MS = 30_000

/** Outcome of a routed request, for metrics. */
export interface RoutedOutcome {
  route: string
  service: string
  status: number
  code: string
  /** Error message of a failed request. */
  reason?: string
  ms: number
}

export interface RoutedGatewayOptions extends RunOptions {
  protocol: RoutedProtocol
  residency: ResidencyClient
  origins: Pick<StreamOrigins, 'begin' | 'store' | 'record' | 'end' | 'find'>
  /** Relays requests while this instance has no recent configuration; undefined where each instance serves its own requests. */
  relay?: InstanceRelay
  /** Key by which other instances prove that they hand a request on; undefined where none does. */
  forwardKey?: string
  /** Converts the monotonic time of another instance to a time of this one that is not after it; undefined while that is unknown. */
  convertPeerTime?: (instance: string, time: number) => number | undefined
  /** Finds the time limit of a request's route, in milliseconds, where this instance has no configuration; undefined if it is unknown. */
  findTimeout?: (host: string, path: string) => number | undefined
  /** Undefined where team quotas are not enforced. */
  quotas?: QuotaGate | undefined
  /** Counts a request for the retry budget of the service. */
  countRequest: (service: string) => void
  /** Reads the routes in force; undefined until a configuration has been received. */
  readTable: () => RouteTable | undefined
  /** Whether the routes in force are known to be the newest. */
  isTableCurrent: () => boolean
  /** Whether a request with this deadline may begin; false when the process will stop before it. */
  mayStart: (deadline: number) => boolean
  /** Whether connections have to close after their current response. */
  mustClose: () => boolean
  onOutcome: (outcome: RoutedOutcome) => void
}

/** A request with its route and team, before its body has been read. */
interface ArrivedRequest {
  table: RouteTable
  route: Route
  team: Team | undefined
  facts: RoutedRequestFacts
  request: http.IncomingMessage
  budget: RequestBudget
  signal: AbortSignal
  holding: Holding
  /** Undefined unless another instance forwards it. */
  forwarded: ForwardedRequest | undefined
}

/** A request to be served by another instance, before its body has been read. */
interface RequestToRelay {
  facts: RoutedRequestFacts
  request: http.IncomingMessage
  budget: RequestBudget
  aborter: RequestAborter
  holding: Holding
}

interface EndedRequest {
  outcome: RoutedOutcome
  facts: RoutedRequestFacts
  response: http.ServerResponse
  arrivedAt: number
  /** Undefined for plain responses. */
  stream: StreamProgress | undefined
}

/** Serves routed requests. */
export class RoutedGateway {
  private active = 0
  private readonly aborters = new Set<RequestAborter>()
  /** Requests whose responses have not been flushed; kept longer than `aborters`. */
  private readonly unfinished = new Set<UnfinishedRequest>()
  /** Requests that are running or waiting for a slot. */
  private readonly requestsInProgress = new Map<RoutedWork, RequestAborter>()
  private readonly firstTries: RetryEstimator

  constructor (private readonly opts: RoutedGatewayOptions) {
    this.firstTries = new RetryEstimator(opts.clock)
    opts.suspects.changes.subscribe((traits) => this.cancelRejected(traits))
  }

  /** Number of requests whose responses have not been completely flushed to their connections. */
  get inFlight (): number {
    return this.active
  }

  /** Reads the id of a request; undefined if it has none. */
  readRequestId (request: http.IncomingMessage): string | undefined {
    return this.opts.protocol.readRequest(request.headers).requestId
  }

  /** Lists the oldest requests whose responses have not been completely flushed. */
  listUnfinished (limit: number): UnfinishedFacts[] {
    const now = this.opts.clock.readTime()
    return [...this.unfinished].slice(0, limit).map((unfinished) => unfinished.describe(now))
  }

  /** Fails every request because the process is about to exit; responses that have begun are cut off. Returns the number of requests. */
  cancelAll (): number {
    const count = this.aborters.size
    for (const aborter of this.aborters) aborter.stop()
    return count
  }

  /**
   * Serves one request until its response has been flushed or its connection has closed; never rejects. `arrivedAt` is the monotonic time in
   * milliseconds at which its head arrived.
   */
  async handle (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt = this.opts.clock.readTime()): Promise<void> {
    this.active++
    const sent = waitUntilSent(response)
    await this.answer(request, response, arrivedAt)
    const cancelTimer = this.opts.clock.setTimer(UNREAD_RESPONSE_TIMEOUT_MS, () => cutResponse(response))
    const unread = this.holdUnread(response)
    await sent
    unread.release()
    cancelTimer()
    this.active--
  }

  /** Counts what the client has not read of its response; the connection is closed if that has to be dropped. */
  private holdUnread (response: http.ServerResponse): Holding {
    const unread = this.opts.held.open(() => cutResponse(response))
    try {
      unread.add(response.writableLength)
    } catch {
      cutResponse(response)
    }
    return unread
  }

  private async answer (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number): Promise<void> {
    const facts = this.opts.protocol.readRequest(request.headers)
    const budget = this.createBudget(request, facts, arrivedAt)
    const minVersion = readMinVersion(request.headers, this.opts.forwardKey)
    const forwarded = readForwarded(request.headers, this.opts.forwardKey)
    const client = new ClientResponse({
      response,
      ownHeaders: this.opts.protocol.buildOwnHeaders(facts.requestId),
      readRelayVersion: () => minVersion === undefined ? undefined : this.opts.readTable()?.config.version,
      ...forwarded && { readOrigin: () => unfinished.work?.origin },
      mustClose: this.opts.mustClose,
    })
    let stream: StreamProgress | undefined
    let quotaUse: QuotaUse | undefined
    let deadlineTimer: DeadlineTimer | undefined
    const outcome: RoutedOutcome = { route: '', service: '', status: 0, code: 'OK', ms: 0 }
    const aborter = createRequestAborter(response)
    this.aborters.add(aborter)
    const holding = this.opts.held.open((error) => aborter.reject(error))
    const unfinished: UnfinishedRequest = this.noteUnfinished(facts.requestId, response, arrivedAt)
    try {
      const table = this.findTable(minVersion)
      if (table === undefined) {
        await this.relay({ facts, request, budget, aborter, holding }, client)
        return
      }
      const route = this.findRoute(table, request)
      outcome.route = route.name
      const team = findTeam({ table, route, facts, isTableCurrent: this.opts.isTableCurrent })
      budget.applyLimit(route.timeoutMs)
      this.checkMayBegin(budget.deadline)
      deadlineTimer = new DeadlineTimer(this.opts.clock, budget, request, aborter)
      await waitUnlessAborted(aborter.signal, waitForReads())
      quotaUse = forwarded ? undefined : await waitUnlessAborted(aborter.signal, this.admit(facts, team))
      const work = await this.createWork({ table, route, team, facts, request, budget, signal: aborter.signal, holding, forwarded })
      unfinished.work = work
      // Reading the body may have taken long.
      this.checkMayBegin(budget.deadline)
      outcome.service = work.service.name
      if (route.streams) stream = work.stream
      deadlineTimer.recordSend()
      const endDemand = forwarded ? (): void => undefined : this.noteDemand(work)
      this.requestsInProgress.set(work, aborter)
      await runRequest(this.opts, work, client).finally(() => {
        this.requestsInProgress.delete(work)
        endDemand()
      })
    } catch (thrown) {
      const error = aborter.explain(convertToError(thrown))
      quotaUse?.settle(error)
      outcome.code = error.code
      outcome.reason = error.message
      outcome.status = error.code === 'CALLER_GONE' ? CLIENT_CLOSED_STATUS : chooseStatus(error)
      client.sendError(error, facts.requestId)
    } finally {
      deadlineTimer?.cancel()
      holding.release()
      aborter.release()
      this.aborters.delete(aborter)
      this.recordOutcome({ outcome, facts, response, arrivedAt, stream })
    }
  }

  /** Rejects waiting requests with one of these traits if they have been confirmed to crash servers. */
  private cancelRejected (traits: readonly string[]): void {
    for (const [work, aborter] of this.requestsInProgress) {
      const rejection = this.opts.queue.isWaiting(work) ? this.opts.suspects.findRejection(work, traits) : undefined
      if (rejection) aborter.reject(rejection)
    }
  }

  private async admit ({ requestId, tokens }: RoutedRequestFacts, team: Team | undefined): Promise<QuotaUse | undefined> {
    return this.opts.quotas?.admit({ requestId, team, tokens })
  }

  private noteUnfinished (request: string | undefined, response: http.ServerResponse, arrivedAt: number): UnfinishedRequest {
    const unfinished = new UnfinishedRequest({ request, response, arrivedAt, isWaiting: (work) => this.opts.queue.isWaiting(work) })
    this.unfinished.add(unfinished)
    response.once('close', () => this.unfinished.delete(unfinished))
    return unfinished
  }

  private checkMayBegin (deadline: number): void {
    if (this.opts.mayStart(deadline)) return
    throw new PulleystackError('INSTANCE_STOPPING', 'This instance will shut down before the deadline of the request', { retryAfterSeconds: 0 })
  }

  /** Returns the routes in force, or undefined if the request has to be relayed. A relayed request is not relayed again. */
  private findTable (minVersion: number | undefined): RouteTable | undefined {
    const { relay, readTable } = this.opts
    const table = readTable()
    const isRecent = table !== undefined && table.config.version >= (minVersion ?? relay?.newestVersion ?? -Infinity)
    if (isRecent) return table
    if (minVersion === undefined && relay?.isReady) return undefined
    if (table) throw new PulleystackError('CONFIG_OUTDATED', 'Another instance has a newer configuration', { retryAfterSeconds: OUTDATED_RETRY_SECONDS })
    throw new PulleystackError('CONFIG_OUTDATED', 'This instance has no configuration yet', { retryAfterSeconds: UNCONFIGURED_RETRY_SECONDS })
  }

  /** Forwards a request to a serving instance and relays its response. */
  private async relay ({ facts, request, budget, aborter, holding }: RequestToRelay, client: ClientResponse): Promise<void> {
    const { method = 'GET', url: path = '/', rawHeaders } = request
    budget.applyLimit(this.opts.findTimeout?.(request.headers.host ?? '', path) ?? RELAY_TIMEOUT_MS)
    this.checkMayBegin(budget.deadline)
    const timer = new DeadlineTimer(this.opts.clock, budget, request, aborter)
    try {
      await waitUnlessAborted(aborter.signal, waitForReads())
      const body = await readRequestBody(request, MAX_RELAY_BODY_BYTES, { signal: aborter.signal, holding })
      timer.recordSend()
      await this.opts.relay?.run({ requestId: facts.requestId, method, path, rawHeaders, body, budget, signal: aborter.signal }, client)
    } finally {
      timer.cancel()
    }
  }

  /** Continues the budget of the instance that handed the request on, or starts one. */
  private createBudget (request: http.IncomingMessage, { waitMs }: RoutedRequestFacts, arrivedAt: number): RequestBudget {
    const hop = readHop(request.headers, this.opts.forwardKey)
    if (!hop) return new RequestBudget({ arrivedAt, waitMs })
    const sentAt = this.opts.convertPeerTime?.(hop.sender, hop.sentAt)
    const hopMs = sentAt === undefined ? 0 : Math.max(0, arrivedAt - sentAt)
    return new RequestBudget({ arrivedAt, waitMs, hop: { usedMs: hop.usedMs, hopMs } })
  }

  private findRoute (table: RouteTable, request: http.IncomingMessage): Route {
    const path = (request.url ?? '/').split('?', 1)[0] as string
    const route = table.findRoute(request.headers.host ?? '', path)
    if (route) return route
    if (this.opts.isTableCurrent()) throw new PulleystackError('NOT_FOUND', 'No route matches this host and path')
    throw new PulleystackError('NO_RUNNER', 'This instance may not have the newest routes', { retryAfterSeconds: OUTDATED_RETRY_SECONDS })
  }

  private async createWork (arrived: ArrivedRequest): Promise<RoutedWork> {
    const { table, team, facts, request, forwarded, budget } = arrived
    const { startedAt, clientWaitMs } = budget
    const route = forwarded ? lowerAttempts(arrived.route, forwarded.attemptsLeft) : arrived.route
    const target = chooseTarget(route, this.opts.random)
    const origin = facts.lastEventId && route.streams ? await waitUnlessAborted(arrived.signal, this.findOrigin(arrived, target)) : undefined
    const name = route.targets.some(({ service }) => service === origin?.service) ? origin?.service ?? target : target
    const service = table.findService(name) ?? { name, maxConnections: 0, serving: undefined }
    const body = await readRequestBody(request, table.config.limits.bodyBytes, arrived)
    return {
      requestId: facts.requestId ?? '',
      facts,
      route,
      service,
      team,
      priority: team?.priority ?? route.priority,
      removesAccessKey: table.hasTeams,
      host: (request.headers.host ?? '').toLowerCase(),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      rawHeaders: filterEndToEndHeaders(request.rawHeaders, RELAY_HEADER_NAMES),
      body,
      arrivedAt: startedAt,
      deadline: budget.deadline,
      generation: service.serving ? estimateGeneration(facts) : undefined,
      firstTriedAt: startedAt - (clientWaitMs === undefined ? 0 : this.firstTries.estimateElapsedMs(route.name, clientWaitMs)),
      excluded: new Set(),
      deniedUntil: new Map(),
      isForwarded: request.headers[ForwardHeaders.KEY] !== undefined,
      ...forwarded && { answersPeer: true },
      ...forwarded?.hasBegun && { hasBegunElsewhere: true },
      triedPeers: new Set(),
      streamId: facts.resumedRequestId ?? facts.requestId ?? '',
      ...origin && { origin },
      stream: createStreamProgress(facts.lastEventId),
      signal: arrived.signal,
    }
  }

  /** Finds where the stream that the request continues began. Errors: NO_RUNNER if that is unknown and its service has several versions. */
  private async findOrigin ({ facts, forwarded, route }: ArrivedRequest, service: string): Promise<StreamOrigin> {
    // An instance that doesn't tell the origin forwards the request under the id by which the stream began.
    const beganAs = facts.resumedRequestId ?? (forwarded ? facts.requestId : undefined)
    const origin = forwarded?.origin ?? await this.opts.origins.find(beganAs, service, route.targets.map((target) => target.service))
    if (origin) return origin
    throw new PulleystackError('NO_RUNNER', `The software version that began stream "${beganAs ?? ''}" is unknown, and service "${service}" has several or none`, {
      ran: Ran.NO,
      retryAfterSeconds: UNKNOWN_ORIGIN_RETRY_SECONDS,
    })
  }

  /** Counts a request; the returned function has to be called at its end. */
  private noteDemand (work: RoutedWork): () => void {
    const { generation, service } = work
    const { residency, countRequest } = this.opts
    countRequest(service.name)
    if (!generation) return () => undefined
    const weights = { service: service.name, model: generation.model, adapter: generation.adapter }
    // A retry by the client was counted at its first try.
    if (work.firstTriedAt === work.arrivedAt) residency.recordRequest(weights)
    return residency.recordInFlight(weights)
  }

  private recordOutcome (finished: EndedRequest): void {
    const { outcome, facts, response, arrivedAt, stream } = finished
    outcome.ms = this.opts.clock.readTime() - arrivedAt
    if (outcome.status === 0) outcome.status = response.statusCode
    const { route, service, status, code, reason } = outcome
    const streamed = stream ? describeStream(stream, arrivedAt) : {}
    const ended = { request: facts.requestId, route, service, status, code, reason, ms: Math.round(outcome.ms) }
    this.opts.log.record(DecisionKinds.REQUEST_ENDED, { ...ended, ...streamed })
    this.opts.onOutcome(outcome)
  }
}

/** What the log says of a stream that has begun. */
function describeStream ({ firstAt, events, longestPauseMs, framing, incompleteBytes }: StreamProgress, arrivedAt: number): Partial<DecisionFacts['request-ended']> {
  const ending = framing === undefined ? {} : { framing, ...incompleteBytes > 0 && { incompleteBytes } }
  if (firstAt === undefined) return ending
  return { events, firstMs: Math.round(firstAt - arrivedAt), longestPauseMs: Math.round(longestPauseMs), ...ending }
}

function lowerAttempts (route: Route, attempts: number): Route {
  return { ...route, maxAttempts: Math.min(route.maxAttempts, attempts) }
}
