import type http from 'node:http'
import type { RoutedProtocol, RoutedRequestFacts } from '@pulleystack/backend.interfaces'
import { chooseTarget, type Route, type RouteTable, type Team } from '@pulleystack/config.routes'
import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import { listEndToEnd } from '@pulleystack/core.headers'
import { readBody } from '@pulleystack/gateway.http'
import type { ResidencyClient } from '@pulleystack/placement.residency'
import { FirstTries } from '@pulleystack/routing.admission'
import { DecisionKinds } from '@pulleystack/timeline.decisions'
import { ClientAnswer, chooseStatus } from './ClientAnswer.js'
import { findTeam } from './findTeam.js'
import type { QuotaGate, QuotaUse } from './QuotaGate.js'
import { createStreamProgress, type StreamProgress } from './relayStream.js'
import { estimateGeneration, type RoutedWork } from './RoutedWork.js'
import { UnfinishedRequest, type UnfinishedFacts } from './UnfinishedRequest.js'
import type { InstanceRelay } from './InstanceRelay.js'
import { RELAY_HEADER_NAMES, readMinVersion } from './relayHeaders.js'
import { createRequestEnd, endWith, waitUntilSent, type RequestEnd } from './RequestAborter.js'
import { runRequest, type RunOptions } from './runRequest.js'
import { waitForReads } from './waitForReads.js'

const UNCONFIGURED_RETRY_SECONDS = 0.5
/** By then a client asks another instance, or this one has asked the store twice more. */
const OUTDATED_RETRY_SECONDS = 0.5
const GONE_STATUS = 499
/** A request that is handed on and has no deadline of its own is given up after this time; no route of the users' pages lasts longer. */
const RELAY_MS = 30_000
/** Largest body that is handed on; the instance that serves knows the limit in force. */
const RELAY_BODY_BYTES = 32 << 20
/** A client that has not taken an ended answer by then reads no more; it is longer than any deadline that the users' pages show (20 s). */
const UNREAD_MS = 30_000

/** A routed request that was answered or given up, for metrics. */
export interface RoutedOutcome {
  route: string
  service: string
  status: number
  code: string
  /** Why it was not served; undefined when it was. */
  reason?: string
  ms: number
}

export interface RoutedGatewayOptions extends RunOptions {
  protocol: RoutedProtocol
  residency: ResidencyClient
  /** Hands requests on while no configuration is known here; undefined where each instance answers for itself. */
  relay?: InstanceRelay
  /** Keeps the quotas of teams; undefined where none are kept. */
  quotas?: QuotaGate | undefined
  /** Counts a client's request at a service for the budget of further attempts. */
  countRequest: (service: string) => void
  /** The routes in force; undefined until a configuration is known. */
  readTable: () => RouteTable | undefined
  /** Whether the routes in force are surely those that have to be; false when a newer configuration may have others. */
  isTableCurrent: () => boolean
  /** Whether a request that may last until the deadline may begin; false when the process ends before. */
  mayBegin: (deadline: number) => boolean
  /** Connections are to close after their current answer. */
  mustClose: () => boolean
  onOutcome: (outcome: RoutedOutcome) => void
}

/** A request whose head has come and whose route and team are known. */
interface ArrivedRequest {
  table: RouteTable
  route: Route
  team: Team | undefined
  facts: RoutedRequestFacts
  request: http.IncomingMessage
  arrivedAt: number
  deadline: number
  signal: AbortSignal
}

/** A request whose head has come and that another instance is to answer. */
interface RequestToRelay {
  facts: RoutedRequestFacts
  request: http.IncomingMessage
  arrivedAt: number
  end: RequestEnd
}

/** A request that was answered or given up. */
interface EndedRequest {
  outcome: RoutedOutcome
  facts: RoutedRequestFacts
  response: http.ServerResponse
  arrivedAt: number
  /** Undefined for plain answers. */
  stream: StreamProgress | undefined
}

/** Serves routed requests. */
export class RoutedGateway {
  private active = 0
  private readonly ends = new Set<RequestEnd>()
  /** Holds requests longer than `ends`, until their answers have left. */
  private readonly unfinished = new Set<UnfinishedRequest>()
  /** Requests that are run or wait for it. */
  private readonly works = new Map<RoutedWork, RequestEnd>()
  private readonly firstTries: FirstTries

  constructor (private readonly opts: RoutedGatewayOptions) {
    this.firstTries = new FirstTries(opts.clock)
    opts.suspects.changes.subscribe((identity) => this.endRefused(identity))
  }

  /** Requests that have not been answered whole, or whose answers have not left for their clients' connections. */
  get inFlight (): number {
    return this.active
  }

  /** The oldest requests whose answers have not left whole. */
  listUnfinished (limit: number): UnfinishedFacts[] {
    const now = this.opts.clock.readTime()
    return [...this.unfinished].slice(0, limit).map((unfinished) => unfinished.describe(now))
  }

  /**
   * Gives every request its final answer now, or breaks off an answer that has begun, since the process is about to end. Gives the number of
   * requests.
   */
  cancelAll (): number {
    const count = this.ends.size
    for (const end of this.ends) end.abandon()
    return count
  }

  /** Serves one request, whose head came at a monotone time, until its answer has left or its connection has closed; never rejects. */
  async handle (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt = this.opts.clock.readTime()): Promise<void> {
    this.active++
    const sent = waitUntilSent(response)
    await this.answer(request, response, arrivedAt)
    const cancel = this.opts.clock.setTimer(UNREAD_MS, () => response.destroy())
    await sent
    cancel()
    this.active--
  }

  private async answer (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number): Promise<void> {
    const facts = this.opts.protocol.readRequest(request.headers)
    const minVersion = readMinVersion(request.headers)
    const client = new ClientAnswer({
      response,
      ownHeaders: this.opts.protocol.buildOwnHeaders(facts.requestId),
      readRelayVersion: () => minVersion === undefined ? undefined : this.opts.readTable()?.config.version,
      mustClose: this.opts.mustClose,
    })
    let stream: StreamProgress | undefined
    let quotaUse: QuotaUse | undefined
    const outcome: RoutedOutcome = { route: '', service: '', status: 0, code: 'OK', ms: 0 }
    const end = createRequestEnd(response)
    this.ends.add(end)
    const unfinished = this.noteUnfinished(facts.requestId, response, arrivedAt)
    try {
      const table = this.findTable(minVersion)
      if (table === undefined) {
        await this.relay({ facts, request, arrivedAt, end }, client)
        return
      }
      const route = this.findRoute(table, request)
      outcome.route = route.name
      const team = findTeam({ table, route, facts, isTableCurrent: this.opts.isTableCurrent })
      const deadline = arrivedAt + Math.min(route.timeoutMs, facts.waitMs ?? Infinity)
      this.checkMayBegin(deadline)
      await endWith(end.signal, waitForReads())
      quotaUse = await endWith(end.signal, this.admit(facts, team))
      const work = await this.readWork({ table, route, team, facts, request, arrivedAt, deadline, signal: end.signal })
      unfinished.work = work
      // Its body may have taken a while.
      this.checkMayBegin(deadline)
      outcome.service = work.service.name
      if (route.streams) stream = work.stream
      const cancel = this.opts.clock.setTimer(Math.max(0, work.deadline - this.opts.clock.readTime()), () => end.expire())
      const endInHand = this.noteDemand(work)
      this.works.set(work, end)
      await runRequest(this.opts, work, client).finally(() => {
        this.works.delete(work)
        cancel()
        endInHand()
      })
    } catch (thrown) {
      const error = end.explain(convertToError(thrown))
      quotaUse?.settle(error)
      outcome.code = error.code
      outcome.reason = error.message
      outcome.status = error.code === 'CALLER_GONE' ? GONE_STATUS : chooseStatus(error)
      client.sendError(error, facts.requestId)
    } finally {
      end.release()
      this.ends.delete(end)
      this.noteEnd({ outcome, facts, response, arrivedAt, stream })
    }
  }

  /** Refuses those that wait and turn out to be the same request under which servers end. */
  private endRefused (identity: string): void {
    for (const [work, end] of this.works) {
      const refusal = this.opts.queue.isWaiting(work) ? this.opts.suspects.findRefusal(work, identity) : undefined
      if (refusal) end.refuse(refusal)
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
    if (this.opts.mayBegin(deadline)) return
    throw new PulleystackError('INSTANCE_STOPPING', 'This instance ends before the request may', { retryAfterSeconds: 0 })
  }

  /** The routes in force; undefined when another instance is to answer. A request that was handed on is not handed on again. */
  private findTable (minVersion: number | undefined): RouteTable | undefined {
    const { relay, readTable } = this.opts
    const table = readTable()
    const isRecent = table !== undefined && table.config.version >= (minVersion ?? relay?.newestVersion ?? -Infinity)
    if (isRecent) return table
    if (minVersion === undefined && relay?.isReady) return undefined
    if (table) throw new PulleystackError('CONFIG_OUTDATED', 'Newer routes are in force elsewhere', { retryAfterSeconds: OUTDATED_RETRY_SECONDS })
    throw new PulleystackError('CONFIG_OUTDATED', 'This instance has no configuration yet', { retryAfterSeconds: UNCONFIGURED_RETRY_SECONDS })
  }

  /** Hands a request on to an instance that serves, and passes its answer on. */
  private async relay ({ facts, request, arrivedAt, end }: RequestToRelay, client: ClientAnswer): Promise<void> {
    const deadline = arrivedAt + Math.min(RELAY_MS, facts.waitMs ?? Infinity)
    this.checkMayBegin(deadline)
    const cancel = this.opts.clock.setTimer(Math.max(0, deadline - this.opts.clock.readTime()), () => end.expire())
    try {
      await endWith(end.signal, waitForReads())
      const body = await readRequestBody(request, RELAY_BODY_BYTES, end.signal)
      const { method = 'GET', url: path = '/', rawHeaders } = request
      const clientDeadline = facts.waitMs === undefined ? undefined : arrivedAt + facts.waitMs
      const { requestId } = facts
      await this.opts.relay?.run({ requestId, method, path, rawHeaders, body, deadline: clientDeadline, signal: end.signal }, client)
    } finally {
      cancel()
    }
  }

  private findRoute (table: RouteTable, request: http.IncomingMessage): Route {
    const path = (request.url ?? '/').split('?', 1)[0] as string
    const route = table.findRoute(request.headers.host ?? '', path)
    if (route) return route
    if (this.opts.isTableCurrent()) throw new PulleystackError('NOT_FOUND', 'No route takes this host and path')
    throw new PulleystackError('NO_RUNNER', 'This instance may not know the newest routes', { retryAfterSeconds: OUTDATED_RETRY_SECONDS })
  }

  private async readWork (it: ArrivedRequest): Promise<RoutedWork> {
    const { table, route, team, facts, request } = it
    const name = chooseTarget(route, this.opts.random)
    const service = table.findService(name) ?? { name, maxConnections: 0, serving: undefined }
    const body = await readRequestBody(request, table.config.limits.bodyBytes, it.signal)
    return {
      requestId: facts.requestId ?? '',
      facts,
      route,
      service,
      team,
      priority: team?.priority ?? route.priority,
      hidesKey: table.hasTeams,
      host: (request.headers.host ?? '').toLowerCase(),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      rawHeaders: listEndToEnd(request.rawHeaders, RELAY_HEADER_NAMES),
      body,
      arrivedAt: it.arrivedAt,
      deadline: it.deadline,
      generation: service.serving ? estimateGeneration(facts) : undefined,
      firstTriedAt: it.arrivedAt - (facts.waitMs === undefined ? 0 : this.firstTries.noteTry(route.name, facts.waitMs)),
      excluded: new Set(),
      stream: createStreamProgress(facts.lastEventId),
      signal: it.signal,
    }
  }

  /** Counts a request; gives what is to be called at its end. */
  private noteDemand (work: RoutedWork): () => void {
    const { generation, service } = work
    const { residency, countRequest } = this.opts
    countRequest(service.name)
    if (!generation) return () => undefined
    const asked = { service: service.name, model: generation.model, adapter: generation.adapter }
    // One that comes back was counted before.
    if (work.firstTriedAt === work.arrivedAt) residency.noteDemand(asked)
    return residency.noteInHand(asked)
  }

  private noteEnd (it: EndedRequest): void {
    const { outcome, facts, response, arrivedAt, stream } = it
    outcome.ms = this.opts.clock.readTime() - arrivedAt
    if (outcome.status === 0) outcome.status = response.statusCode
    const { route, service, status, code, reason } = outcome
    const streamed = stream?.firstAt === undefined
      ? {}
      : { events: stream.events, firstMs: Math.round(stream.firstAt - arrivedAt), longestPauseMs: Math.round(stream.longestPauseMs) }
    const ended = { request: facts.requestId, route, service, status, code, reason, ms: Math.round(outcome.ms) }
    this.opts.log.record(DecisionKinds.REQUEST_ENDED, { ...ended, ...streamed })
    this.opts.onOutcome(outcome)
  }
}

/** The body, and the end of its connection if that has come behind it: nothing behind a large body is read before the body has been taken. */
async function readRequestBody (request: http.IncomingMessage, limitBytes: number, signal: AbortSignal): Promise<Buffer | undefined> {
  if (!hasBody(request)) return undefined
  const body = await endWith(signal, readBody(request, limitBytes))
  await endWith(signal, waitForReads())
  return body
}

function hasBody (request: http.IncomingMessage): boolean {
  return request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
}
