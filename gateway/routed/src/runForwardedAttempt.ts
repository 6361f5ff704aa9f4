import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran, convertToError, parseErrorBody, type ResultCodeName } from '@pulleystack/core.errors'
import { parseRetryAfter } from '@pulleystack/core.headers'
import type { ExchangeResponse } from '@pulleystack/routing.forward'
import type { StreamOrigins } from '@pulleystack/routing.origins'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { createAttemptSignal, type AttemptSignal } from './AttemptSignal.js'
import type { ClientResponse } from './ClientResponse.js'
import type { ForwardTarget, PeerForwarder } from './PeerForwarder.js'
import { readOrigin } from './relayHeaders.js'
import { MIN_SERVER_ERROR_STATUS, relayServerResponse } from './relayServerResponse.js'
import { recordOrigin } from './trackStream.js'
import type { RoutedWork } from './RoutedWork.js'
import type { RunProgress } from './RunProgress.js'
import type { StreamFlusher } from './StreamFlusher.js'

const MAX_REJECTION_BYTES = 64 << 10
/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Rejections that another instance may not share. */
const LOCAL_REJECTIONS: ReadonlySet<string> = new Set<ResultCodeName>(['NO_RUNNER', 'PATH_LOST', 'INSTANCE_STOPPING', 'CONFIG_OUTDATED', 'NOT_FOUND', 'ACCESS_KEY_WRONG'])

export interface ForwardOptions {
  clock: Clock
  log: DecisionLog
  flusher: StreamFlusher
  forwarder: PeerForwarder
  origins: Pick<StreamOrigins, 'store' | 'record'>
}

/** Why a forwarded attempt did not end with a server's response. */
export interface ForwardFailure {
  error: PulleystackError
  /** Whether the instance rejected the request for a reason that holds at all instances. */
  isFinal: boolean
}

/** Runs one attempt through another instance; returns why if a server's response was not relayed completely. */
export async function runForwardedAttempt (
  opts: ForwardOptions,
  work: RoutedWork,
  progress: RunProgress,
  client: ClientResponse,
): Promise<ForwardFailure | undefined> {
  const target = opts.forwarder.chooseTarget(work)
  if (!target) return { error: new PulleystackError('PATH_LOST', 'No other instance is left'), isFinal: false }
  work.triedPeers.add(target.instance)
  // The other instance watches the server's silence.
  const attempt = createAttemptSignal(opts.clock, work, { isSilenceWatched: false, reserveSwitch: () => false })
  opts.log.record(DecisionKinds.REQUEST_FORWARDED, { request: work.requestId, peer: target.instance, after: work.stream.lastEventId })
  try {
    return await exchange(opts, { work, progress, client, target, attempt })
  } catch (thrown) {
    const error = convertToError(thrown)
    if (error.ran !== Ran.NO) progress.runs++
    recordFailure(opts, work, target, error)
    return { error, isFinal: false }
  } finally {
    attempt.release()
  }
}

interface Forwarding {
  work: RoutedWork
  progress: RunProgress
  client: ClientResponse
  target: ForwardTarget
  attempt: AttemptSignal
}

async function exchange (opts: ForwardOptions, { work, progress, client, target, attempt }: Forwarding): Promise<ForwardFailure | undefined> {
  const { forwarder } = opts
  const attemptsLeft = Math.max(1, work.route.maxAttempts - progress.runs)
  const response = await forwarder.open(work, { target, attemptsLeft, lastEventId: progress.stream.lastEventId, signal: attempt.signal })
  if (!forwarder.isFromServer(response)) {
    const failure = await readRejection(response)
    if (failure.error.ran !== Ran.NO) progress.runs++
    recordFailure(opts, work, target, failure.error)
    return failure
  }
  const error = await relayServerResponse(opts, {
    work,
    progress,
    client,
    response,
    attempt,
    onFirstEvent: () => recordOrigin(opts.origins, work, readOrigin(response.headers)),
    onPrefilled: () => undefined,
    // The instance that runs the request records what becomes of its server.
    onBegun: () => undefined,
    onStreamEnd: () => undefined,
  })
  if (!error) return undefined
  // The other instance has made all attempts.
  progress.runs = Math.max(progress.runs + 1, work.route.maxAttempts)
  recordFailure(opts, work, target, error)
  return { error, isFinal: false }
}

/** Reads an error response of the instance itself. */
async function readRejection (response: ExchangeResponse): Promise<ForwardFailure> {
  const rejection = parseError(await response.readBody(MAX_REJECTION_BYTES))
  const message = rejection?.message ?? `The instance responded with status ${response.status}`
  const isNotRun = NOT_RUN_STATUSES.has(response.status) || response.status < MIN_SERVER_ERROR_STATUS
  if (!isNotRun) return { error: new PulleystackError('ATTEMPT_FAILED_UNKNOWN', message), isFinal: false }
  const isFinal = rejection !== undefined && !LOCAL_REJECTIONS.has(rejection.code)
  const retryAfterMs = parseRetryAfter(response.headers['retry-after'] ?? '', response.headers.date)
  const retryAfterSeconds = retryAfterMs === undefined ? undefined : retryAfterMs / 1_000
  return { error: new PulleystackError(isFinal ? rejection.code : 'PATH_LOST', message, { ran: Ran.NO, retryAfterSeconds }), isFinal }
}

/** Undefined if the body names no known result code. */
function parseError (body: Buffer): PulleystackError | undefined {
  try {
    return parseErrorBody(JSON.parse(body.toString('utf8')))
  } catch {
    return undefined
  }
}

function recordFailure (opts: ForwardOptions, work: RoutedWork, { instance }: ForwardTarget, { code, ran, message }: PulleystackError): void {
  opts.log.record(DecisionKinds.FORWARD_FAILED, { request: work.requestId, peer: instance, code, ran, reason: message })
}
