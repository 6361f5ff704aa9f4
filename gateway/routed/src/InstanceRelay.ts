import type { IncomingHttpHeaders } from 'node:http'
import type { AnswerFacts, RoutedProtocol } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import { openExchange, type BackendAgent, type ExchangeAnswer } from '@pulleystack/routing.forward'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { ClientAnswer } from './ClientAnswer.js'
import { RelayHeaders } from './relayHeaders.js'

/** An instance in another data hall is connected to within a few milliseconds, unless it is gone. */
const CONNECT_MS = 300
/** Instances that are tried for one request; those that are gone leave the list within moments. */
const MAX_TARGETS = 3
/** By then another instance has stepped in or a link is back. */
const NO_TARGET_RETRY_SECONDS = 0.5
/** Largest answer that is held whole before it is passed on. */
const MAX_BODY_BYTES = 32 << 20

/** An instance that serves. */
export interface RelayTarget {
  instance: string
  /** host:port where clients connect. */
  address: string
}

/** A request that is to be answered by another instance. */
export interface RelayedRequest {
  requestId: string | undefined
  method: string
  /** Path and query, as the client sent them. */
  path: string
  /** Names and values by turns, as the client sent them. */
  rawHeaders: readonly string[]
  body: Buffer | undefined
  /** Monotone time by which its client has left; undefined when it names none. */
  deadline: number | undefined
  signal: AbortSignal
}

export interface InstanceRelayOptions {
  clock: Clock
  agent: BackendAgent
  protocol: RoutedProtocol
  log: DecisionLog
  /** Instances that serve and have a live link, the preferred one first. */
  listTargets: () => readonly RelayTarget[]
}

/**
 * Hands requests on to an instance that serves, for one that stands by or has no configuration yet. What the instances of a large system tell each
 * other grows with the number of those that know all backend servers, so that only a part of them does; every other one still answers what reaches it.
 */
export class InstanceRelay {
  private newest = -Infinity

  constructor (private readonly opts: InstanceRelayOptions) {}

  /** Whether a request that comes now would find an instance that serves. */
  get isReady (): boolean {
    return this.opts.listTargets().length > 0
  }

  /** The newest configuration by which a relayed request was answered; no client of this instance may see an older one afterwards. */
  get newestVersion (): number {
    return this.newest
  }

  /** Passes on the answer of an instance that serves; rejects with `ran: no` when none was reached or all know older configurations only. */
  async run (request: RelayedRequest, client: ClientAnswer): Promise<void> {
    let failure = createNoTarget()
    for (const target of this.opts.listTargets().slice(0, MAX_TARGETS)) {
      const answer = await this.ask(target, request)
      if (answer instanceof PulleystackError) {
        failure = answer
        continue
      }
      await passOn(answer, client)
      return
    }
    throw failure
  }

  /** Gives the answer, or the error of an instance that has surely not run the request, so that another may. */
  private async ask (target: RelayTarget, request: RelayedRequest): Promise<ExchangeAnswer | PulleystackError> {
    this.opts.log.record(DecisionKinds.REQUEST_RELAYED, { request: request.requestId, peer: target.instance })
    try {
      const answer = await openExchange({
        agent: this.opts.agent,
        protocol: { readAnswer: (status, headers) => this.readAnswer(status, headers) },
        clock: this.opts.clock,
        address: target.address,
        method: request.method,
        path: request.path,
        headers: this.buildHeaders(request),
        body: request.body,
        requestId: request.requestId,
        connectMs: CONNECT_MS,
        signal: request.signal,
      })
      this.noteVersion(answer)
      return answer
    } catch (thrown) {
      const error = convertToError(thrown)
      if (request.signal.aborted) throw error
      if (error.code === 'ATTEMPT_FAILED_NOT_RUN') return createNoTarget(error)
      if (error.code === 'BACKEND_REFUSED') return createOutdated(error)
      throw error
    }
  }

  private buildHeaders (request: RelayedRequest): string[] {
    const leftMs = request.deadline === undefined ? undefined : Math.max(1, Math.floor(request.deadline - this.opts.clock.readTime()))
    const headers = this.opts.protocol.buildRelayHeaders(request.rawHeaders, leftMs)
    if (request.body !== undefined) headers.push('Content-Length', String(request.body.length))
    headers.push(RelayHeaders.MIN_VERSION, String(Math.max(0, this.newest)))
    return headers
  }

  /** An answer of the instance's own is as good as a server's; only one that knows an older configuration is asked in vain. */
  private readAnswer (status: number, headers: IncomingHttpHeaders): AnswerFacts {
    const { requestId } = this.opts.protocol.readAnswer(status, headers)
    return { requestId, signed: true, notRun: headers[RelayHeaders.OUTDATED] !== undefined }
  }

  private noteVersion (answer: ExchangeAnswer): void {
    const version = Number(findHeader(answer, RelayHeaders.VERSION))
    if (version > this.newest) this.newest = version
  }
}

async function passOn (answer: ExchangeAnswer, client: ClientAnswer): Promise<void> {
  if (findHeader(answer, 'content-length') !== undefined) {
    client.sendWhole(answer, await answer.readWhole(MAX_BODY_BYTES))
    return
  }
  client.beginStream(answer)
  await answer.read((chunk) => {
    if (client.write(chunk)) return
    answer.pause()
    client.onDrain(() => answer.resume())
  })
  client.endStream()
}

function findHeader (answer: ExchangeAnswer, name: string): string | undefined {
  const at = answer.rawHeaders.findIndex((it, index) => index % 2 === 0 && it.toLowerCase() === name)
  return at < 0 ? undefined : answer.rawHeaders[at + 1]
}

function createNoTarget (cause?: PulleystackError): PulleystackError {
  return new PulleystackError('NO_RUNNER', 'No instance that serves can be reached', { retryAfterSeconds: NO_TARGET_RETRY_SECONDS, cause })
}

function createOutdated (cause: PulleystackError): PulleystackError {
  return new PulleystackError('NO_RUNNER', 'No instance that was reached knows the newest routes', { retryAfterSeconds: NO_TARGET_RETRY_SECONDS, cause })
}
