import { PulleystackError, Ran, convertToError, parseErrorBody, type ResultCodeName } from '@pulleystack/core.errors'
import { parseRetryAfter } from '@pulleystack/core.headers'
import type { ExchangeResponse } from '@pulleystack/routing.forward'
import { DecisionKinds } from '@pulleystack/timeline.decisions'
import { createAttemptSignal, type AttemptSignal } from './AttemptSignal.js'
import type { ForwardTarget, PeerForwarder } from './PeerForwarder.js'
import { readOrigin } from './relayHeaders.js'
import { MIN_SERVER_ERROR_STATUS, relayServerResponse } from './relayServerResponse.js'
import type { RequestRun } from './RequestRun.js'
import { recordOrigin } from './trackStream.js'

const MAX_REJECTION_BYTES = 64 << 10
/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Rejections that another instance may not share. */
const LOCAL_REJECTIONS: ReadonlySet<string> = new Set<ResultCodeName>(['NO_RUNNER', 'PATH_LOST', 'INSTANCE_STOPPING', 'CONFIG_OUTDATED', 'NOT_FOUND', 'ACCESS_KEY_WRONG'])

/** Why a forwarded attempt did not end with a server's response. */
export interface ForwardFailure {
  error: PulleystackError
  /** Whether the instance rejected the request for a reason that holds at all instances. */
  isFinal: boolean
}

/** An attempt that was sent to another instance. */
export interface SentForward {
  signal: AttemptSignal
  /** The response of a server, or why there is none. Never rejects. */
  opened: Promise<ExchangeResponse | ForwardFailure>
  recordFailure: (error: PulleystackError) => void
}

/** Runs one attempt through another instance; returns why if a server's response was not relayed completely. */
export async function runForwardedAttempt (run: RequestRun): Promise<ForwardFailure | undefined> {
  const forward = openForward(run)
  const opened = await forward.opened
  if (!('error' in opened)) {
    const error = await relayForward(run, forward, opened)
    return error && { error, isFinal: false }
  }
  forward.signal.release()
  return opened
}

/** Sends the request to another instance. `openRuns` counts attempts that may have run and aren't counted yet. */
export function openForward (run: RequestRun, { openRuns = 0 } = {}): SentForward {
  const { opts, work } = run
  // The other instance watches the server's silence.
  const signal = createAttemptSignal(opts.clock, work, { isSilenceWatched: false })
  const target = opts.forwarder?.chooseTarget(work)
  if (!opts.forwarder || !target) {
    const error = new PulleystackError('PATH_LOST', 'No other instance is left')
    return { signal, opened: Promise.resolve({ error, isFinal: false }), recordFailure: () => undefined }
  }
  work.triedPeers.add(target.instance)
  opts.log.record(DecisionKinds.REQUEST_FORWARDED, { request: work.requestId, peer: target.instance, after: work.stream.lastEventId })
  const recordFailure = ({ code, ran, message }: PulleystackError): void =>
    opts.log.record(DecisionKinds.FORWARD_FAILED, { request: work.requestId, peer: target.instance, code, ran, reason: message })
  return { signal, opened: exchange(run, { forwarder: opts.forwarder, target, signal, openRuns, recordFailure }), recordFailure }
}

interface ForwardExchange {
  forwarder: PeerForwarder
  target: ForwardTarget
  signal: AttemptSignal
  openRuns: number
  recordFailure: (error: PulleystackError) => void
}

async function exchange (run: RequestRun, { forwarder, target, signal, openRuns, recordFailure }: ForwardExchange): Promise<ExchangeResponse | ForwardFailure> {
  const { work, progress } = run
  try {
    const attemptsLeft = Math.max(1, work.route.maxAttempts - progress.runs - openRuns)
    const response = await forwarder.open(work, { target, attemptsLeft, lastEventId: progress.stream.lastEventId, signal: signal.signal })
    if (forwarder.isFromServer(response)) return response
    const failure = await readRejection(response)
    if (failure.error.ran !== Ran.NO) progress.runs++
    recordFailure(failure.error)
    return failure
  } catch (thrown) {
    const error = convertToError(thrown)
    if (error.ran !== Ran.NO) progress.runs++
    recordFailure(error)
    return { error, isFinal: false }
  }
}

/** Relays the response of a server that came through another instance; resolves with the error if it was not relayed completely. */
export async function relayForward (run: RequestRun, forward: SentForward, response: ExchangeResponse): Promise<PulleystackError | undefined> {
  const { opts, work, progress, client } = run
  try {
    const error = await relayServerResponse(opts, {
      work,
      progress,
      client,
      response,
      attempt: forward.signal,
      onFirstEvent: () => recordOrigin(opts.origins, work, readOrigin(response.headers)),
      onPrefilled: () => undefined,
      // The instance that runs the request records what becomes of its server.
      onBegun: () => undefined,
      onStreamEnd: () => undefined,
    })
    if (!error) return undefined
    // The other instance has made all attempts.
    progress.runs = Math.max(progress.runs + 1, work.route.maxAttempts)
    forward.recordFailure(error)
    return error
  } catch (thrown) {
    const error = convertToError(thrown)
    if (error.ran !== Ran.NO) progress.runs++
    forward.recordFailure(error)
    return error
  } finally {
    forward.signal.release()
  }
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
