import type { IncomingHttpHeaders } from 'node:http'
import type { ResponseFacts, RoutedProtocol } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import { filterEndToEndHeaders } from '@pulleystack/core.headers'
import { openExchange, type BackendAgent, type ExchangeResponse } from '@pulleystack/routing.forward'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { ClientResponse } from './ClientResponse.js'
import type { RelayPeers, RelayTarget } from './RelayPeers.js'
import { RELAY_HEADER_NAMES, RelayHeaders, buildHopHeaders } from './relayHeaders.js'
import type { RequestBudget } from './RequestBudget.js'

/** Far longer than connecting to another data hall takes. */
const CONNECT_TIMEOUT_MS = 300
/** Instances tried for one request. */
const MAX_TARGETS = 3
/** Time for another instance to start serving, or for a link to recover. */
const NO_TARGET_RETRY_SECONDS = 0.5
/** A shorter wait for a response says nothing of the peer. */
const MIN_SILENCE_MS = 250
/** A client that leaves with no more time than this has waited to its end. */
const MAX_LEFT_MS = 50
/** Largest response buffered before it is forwarded. */
const MAX_BODY_BYTES = 32 << 20

/** A request to be served by another instance. */
export interface RelayedRequest {
  requestId: string | undefined
  method: string
  /** Path and query as sent by the client. */
  path: string
  /** Alternating names and values as sent by the client. */
  rawHeaders: readonly string[]
  body: Buffer | undefined
  budget: RequestBudget
  signal: AbortSignal
}

export interface InstanceRelayOptions {
  clock: Clock
  /** Name of this instance. */
  instance: string
  agent: BackendAgent
  protocol: RoutedProtocol
  log: DecisionLog
  peers: RelayPeers
}

/**
 * Forwards requests to a serving instance, for an instance that is on standby or has no configuration yet. Only some instances of a large system track
 * all backend servers, to bound the traffic between instances; the others relay the requests that reach them.
 */
export class InstanceRelay {
  private latestVersion = -Infinity

  constructor (private readonly opts: InstanceRelayOptions) {}

  /** Whether a serving instance is linked now. */
  get isReady (): boolean {
    return !this.opts.peers.isEmpty
  }

  /** Newest configuration version that has served a relayed request; later requests must not be served with an older one. */
  get newestVersion (): number {
    return this.latestVersion
  }

  /** Relays the response of a serving instance; rejects with `ran: no` if none was reached or all of them have older configurations. */
  async run (request: RelayedRequest, client: ClientResponse): Promise<void> {
    let failure = createNoTargetError()
    for (const target of this.opts.peers.list().slice(0, MAX_TARGETS)) {
      const recordEnd = this.opts.peers.recordSent(target)
      try {
        const response = await this.send(target, request)
        if (!(response instanceof PulleystackError)) {
          await relayResponse(response, client)
          return
        }
        failure = response
      } finally {
        recordEnd()
      }
    }
    throw failure
  }

  /** Returns the response, or the error of an instance that is known not to have run the request, so that another one can be tried. */
  private async send (target: RelayTarget, request: RelayedRequest): Promise<ExchangeResponse | PulleystackError> {
    const sentAt = this.opts.clock.readTime()
    const leftMs = Math.round(request.budget.readLeftMs(sentAt))
    this.opts.log.record(DecisionKinds.REQUEST_RELAYED, { request: request.requestId, peer: target.instance, leftMs })
    try {
      const response = await openExchange({
        agent: this.opts.agent,
        protocol: { readResponse: (status, headers) => this.readResponse(status, headers) },
        clock: this.opts.clock,
        address: target.address,
        method: request.method,
        path: request.path,
        headers: this.buildHeaders(target, request),
        body: request.body,
        requestId: request.requestId,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        mustBeFramed: true,
        signal: request.signal,
      })
      this.opts.peers.recordAnswer(target)
      this.noteVersion(response)
      return response
    } catch (thrown) {
      const error = convertToError(thrown)
      this.judgeSilence(target, request, error, sentAt)
      if (request.signal.aborted) throw error
      if (error.code === 'ATTEMPT_FAILED_NOT_RUN') return createNoTargetError(error)
      if (error.code === 'BACKEND_REFUSED') return createOutdatedError(error)
      throw error
    }
  }

  /** Counts an exchange that ended without a response against the peer, unless the client left early. */
  private judgeSilence (target: RelayTarget, { budget, signal }: RelayedRequest, error: PulleystackError, sentAt: number): void {
    if (error.code === 'BACKEND_REFUSED') return
    const now = this.opts.clock.readTime()
    const hasLeftEarly = signal.aborted && (now - sentAt < MIN_SILENCE_MS || budget.readLeftMs(now) > MAX_LEFT_MS)
    if (hasLeftEarly || !this.opts.peers.recordSilence(target)) return
    this.opts.log.record(DecisionKinds.PEER_EJECTED, { peer: target.instance, silentMs: Math.round(now - sentAt) })
  }

  private buildHeaders ({ forwardKey }: RelayTarget, { rawHeaders, body, budget }: RelayedRequest): string[] {
    const now = this.opts.clock.readTime()
    const waitMs = budget.clientDeadline === undefined ? undefined : Math.max(1, Math.floor(budget.clientDeadline - now))
    const headers = this.opts.protocol.buildRelayHeaders(filterEndToEndHeaders(rawHeaders, RELAY_HEADER_NAMES), waitMs)
    if (body !== undefined) headers.push('Content-Length', String(body.length))
    headers.push(RelayHeaders.MIN_VERSION, String(Math.max(0, this.latestVersion)))
    if (forwardKey !== undefined) headers.push(...buildHopHeaders({ sender: this.opts.instance, usedMs: budget.readUsedMs(now), sentAt: now }, forwardKey))
    return headers
  }

  /** Any response of an instance is final, unless it reports an outdated configuration. */
  private readResponse (status: number, headers: IncomingHttpHeaders): ResponseFacts {
    const { requestId } = this.opts.protocol.readResponse(status, headers)
    return { requestId, isConfirmedByServer: true, notRun: headers[RelayHeaders.OUTDATED] !== undefined }
  }

  private noteVersion (response: ExchangeResponse): void {
    const version = Number(findHeader(response, RelayHeaders.VERSION))
    if (version > this.latestVersion) this.latestVersion = version
  }
}

async function relayResponse (response: ExchangeResponse, client: ClientResponse): Promise<void> {
  if (findHeader(response, 'content-length') !== undefined) {
    client.sendBuffered(response, await response.readBody(MAX_BODY_BYTES))
    return
  }
  client.beginStream(response)
  await response.read((chunk) => {
    if (client.write(chunk)) return
    response.pause()
    client.onDrain(() => response.resume())
  })
  client.endStream()
}

function findHeader (response: ExchangeResponse, name: string): string | undefined {
  const at = response.rawHeaders.findIndex((it, index) => index % 2 === 0 && it.toLowerCase() === name)
  return at < 0 ? undefined : response.rawHeaders[at + 1]
}

function createNoTargetError (cause?: PulleystackError): PulleystackError {
  return new PulleystackError('NO_RUNNER', 'No serving instance is reachable', { retryAfterSeconds: NO_TARGET_RETRY_SECONDS, cause })
}

function createOutdatedError (cause: PulleystackError): PulleystackError {
  return new PulleystackError('NO_RUNNER', 'No reachable instance has a recent enough configuration', { retryAfterSeconds: NO_TARGET_RETRY_SECONDS, cause })
}
