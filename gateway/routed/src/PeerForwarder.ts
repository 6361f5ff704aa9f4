import type { IncomingHttpHeaders } from 'node:http'
import type { ResponseFacts, RoutedProtocol } from '@pulleystack/backend.interfaces'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import type { ServerContacts } from '@pulleystack/routing.fleet'
import { openExchange, type BackendAgent, type ExchangeResponse } from '@pulleystack/routing.forward'
import type { RelayTarget } from './RelayPeers.js'
import { ForwardHeaders, RelayHeaders, buildHopHeaders, formatOrigin } from './relayHeaders.js'
import type { RoutedWork } from './RoutedWork.js'

const CONNECT_TIMEOUT_MS = 300
/** Instances to which one request is forwarded. */
const MAX_PEERS = 3

/** An instance that may reach servers that this one doesn't; one without a key takes no forwarded requests. */
export type ForwardTarget = RelayTarget

export interface PeerForwarderOptions {
  clock: Clock
  random: RandomSource
  /** Name of this instance. */
  instance: string
  agent: BackendAgent
  protocol: RoutedProtocol
  contacts: Pick<ServerContacts, 'isPeerCutOff'>
  /** Lists the other serving instances with a live link. */
  listTargets: () => readonly ForwardTarget[]
  readConfigVersion: () => number
}

/** One attempt to run a request through another instance. */
export interface ForwardedAttempt {
  target: ForwardTarget
  /** Attempts that the other instance may make. */
  attemptsLeft: number
  /** The newest event that the client has received of a stream. */
  lastEventId: string | undefined
  signal: AbortSignal
}

/**
 * Sends requests whose servers this instance can't reach to an instance that does. A request is forwarded once: the receiver sends it to servers itself or
 * rejects it, and neither charges the team's quota nor counts the request again.
 */
export class PeerForwarder {
  private sentCount = 0

  constructor (private readonly opts: PeerForwarderOptions) {}

  /** Attempts sent to other instances so far. */
  get forwardedAttempts (): number {
    return this.sentCount
  }

  /** Whether an instance is left that may reach a server for the request. */
  mayForward (work: RoutedWork): boolean {
    return !work.isForwarded && this.listCandidates(work).length > 0
  }

  /** Picks one of the instances at random, so that they share the work; undefined if none is left. */
  chooseTarget (work: RoutedWork): ForwardTarget | undefined {
    const candidates = this.listCandidates(work)
    return candidates[Math.floor(this.opts.random.readFraction() * candidates.length)]
  }

  /** Resolves with the head of the response, of a server or of the instance itself; rejects as `openExchange` does. */
  open (work: RoutedWork, attempt: ForwardedAttempt): Promise<ExchangeResponse> {
    const { agent, clock } = this.opts
    this.sentCount++
    return openExchange({
      agent,
      protocol: { readResponse: (status, headers) => this.readResponse(status, headers) },
      clock,
      address: attempt.target.address,
      method: work.method,
      path: work.path,
      headers: this.buildHeaders(work, attempt),
      body: work.body,
      requestId: work.requestId,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      mustBeFramed: true,
      signal: attempt.signal,
    })
  }

  /** Whether a backend server made the response, rather than the instance that received the request. */
  isFromServer (response: ExchangeResponse): boolean {
    return this.opts.protocol.readResponse(response.status, response.headers).isConfirmedByServer
  }

  private listCandidates ({ triedPeers }: RoutedWork): ForwardTarget[] {
    if (triedPeers.size >= MAX_PEERS) return []
    const { listTargets, contacts } = this.opts
    return listTargets().filter(({ instance, forwardKey }) => forwardKey !== undefined && !triedPeers.has(instance) && !contacts.isPeerCutOff(instance))
  }

  private buildHeaders (work: RoutedWork, { target, attemptsLeft, lastEventId }: ForwardedAttempt): string[] {
    const now = this.opts.clock.readTime()
    const leftMs = Math.max(1, Math.floor(work.deadline - now))
    const headers = this.opts.protocol.buildRelayHeaders(work.rawHeaders, leftMs, lastEventId)
    if (work.body !== undefined) headers.push('Content-Length', String(work.body.length))
    headers.push(RelayHeaders.MIN_VERSION, String(this.opts.readConfigVersion()))
    const key = target.forwardKey ?? ''
    headers.push(...buildHopHeaders({ sender: this.opts.instance, usedMs: now - work.arrivedAt, sentAt: now }, key))
    headers.push(ForwardHeaders.KEY, key, ForwardHeaders.ATTEMPTS, String(attemptsLeft))
    if (work.stream.events > 0) headers.push(ForwardHeaders.BEGUN, '1')
    if (work.origin) headers.push(ForwardHeaders.ORIGIN, formatOrigin(work.origin))
    return headers
  }

  /** A response of the instance itself says nothing of a server. */
  private readResponse (status: number, headers: IncomingHttpHeaders): ResponseFacts {
    const { requestId } = this.opts.protocol.readResponse(status, headers)
    return { requestId, isConfirmedByServer: true, notRun: false }
  }
}
