import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import { openExchange, type ExchangeOptions, type ExchangeResponse } from '@pulleystack/routing.forward'
import { ChoiceFailures, PathVerdicts, readSoftwareVersion, type Backend, type PathVerdict, type StreamOrigin } from '@pulleystack/routing.fleet'
import type { SuspectRun } from '@pulleystack/routing.quarantine'
import { DecisionKinds } from '@pulleystack/timeline.decisions'
import type { SlotAdmission } from './admitToSlot.js'
import { createAttemptSignal, type AttemptSignal } from './AttemptSignal.js'
import type { BackendSlot } from './BackendSlot.js'
import { buildEventSample } from './buildPaceSample.js'
import { isSlowOnly } from './isSlowOnly.js'
import { recordSend } from './recordSend.js'
import { MIN_SERVER_ERROR_STATUS, relayServerResponse } from './relayServerResponse.js'
import { waitUnlessAborted } from './RequestAborter.js'
import type { RequestRun } from './RequestRun.js'
import { dropRetryPermit, mayRepeat } from './retryAttempt.js'
import { mustBeFinished } from './RoutedWork.js'
import type { RunOptions } from './runRequest.js'
import { ResponseHold } from './ResponseHold.js'
import { settleWithin } from './settleWithin.js'
import type { BrokenAttempt } from './SuspectGate.js'
import { beginStream, recordOrigin } from './trackStream.js'

const CONNECT_TIMEOUT_MS = 300
/** An instance that reaches the server answers within a few milliseconds; one that doesn't may take far longer. */
const MAX_VERDICT_WAIT_MS = 50
/** As long as a connection attempt to a silent server, and that answer. */
const MAX_INSPECTION_WAIT_MS = 350
/** A server that responded within this time is reachable. */
const RECENT_CONTACT_MS = 250
/** Time for which a brittle server gets no requests after it rejected one. */
const BRITTLE_DENIAL_MS = 250
/** Time for which a request avoids a server that rejected it or was too slow, where it may have to go on there. */
const REFUSED_MS = 1_000

/** A request that was sent to a server. */
export interface SentAttempt {
  slot: BackendSlot
  run: SuspectRun
  origin: StreamOrigin
  signal: AttemptSignal
  response: Promise<ExchangeResponse>
  /** Resolves once the whole request has been handed to the connection. */
  written: Promise<void>
  facts: { request: string, backend: string, send: number }
  /** Monotonic time in milliseconds. */
  sentAt: number
  /** Events that the client had received before. */
  eventsBefore: number
  /** Whether the attempt counts among those that may have run. */
  hasCountedRun: boolean
  /** Holds back what the server sends while another one may take over. */
  hold: ResponseHold
}

/** Sends the request to the server of the slot. `openRuns` counts attempts that may have run and aren't counted yet. */
export async function sendAttempt (request: RequestRun, { slot, run }: SlotAdmission, { openRuns = 0 } = {}): Promise<SentAttempt> {
  const { opts, work, progress } = request
  const { clock, log } = opts
  const origin = { service: work.service.name, version: readSoftwareVersion(slot.backend.entry) }
  await beginStream(opts.origins, work, origin)
  const sentAt = clock.readTime()
  const signal = createAttemptSignal(clock, work, {
    isSilenceWatched: mayRepeat(work) && progress.runs + openRuns + 1 < work.route.maxAttempts,
    lostPath: slot.backend.path.losses,
    onLongPause: () => probePausedServer(opts, slot.backend),
    overdueMs: opts.responseTimes.estimateOverdueMs(work.route.name, slot.backend.id),
    beginTakeover: () => request.beginTakeover(request, attempt),
    onOverdue: () => recordOverdue(opts, slot.backend),
    onFirstData: (ms) => opts.responseTimes.record(work.route.name, slot.backend.id, ms),
  })
  progress.sends++
  const facts = { request: work.requestId, backend: slot.backend.id, send: progress.sends }
  recordSend(log, work, { slot, facts, sentAt })
  slot.recordSent()
  let recordWritten = (): void => undefined
  const written = new Promise<void>((resolve) => {
    recordWritten = resolve
  })
  const response = openExchange({ ...buildExchange(request, slot), signal: signal.signal, onWritten: recordWritten })
  // A rejection is handled by whoever relays the attempt or ends it.
  response.catch(() => undefined)
  const state = { eventsBefore: work.stream.events, hasCountedRun: false, hold: new ResponseHold() }
  const attempt: SentAttempt = { slot, run, origin, signal, response, written, facts, sentAt, ...state }
  return attempt
}

/** Relays the response of a sent request; resolves with the error if it was not relayed completely. */
export async function relayAttempt (request: RequestRun, attempt: SentAttempt): Promise<PulleystackError | undefined> {
  const { opts, work, progress, client } = request
  const { slot, run, signal, origin } = attempt
  try {
    const response = await attempt.response
    await waitUnlessAborted(signal.signal, attempt.hold.open(response))
    // Another attempt might have been needed if the server had rejected this one late.
    dropRetryPermit(progress)
    recordResponse(request, attempt)
    const serverError = await relayServerResponse(opts, {
      work,
      progress,
      client,
      response,
      attempt: signal,
      onFirstEvent: () => recordOrigin(opts.origins, work, origin),
      onPrefilled: () => slot.recordPrefilled(),
      onBegun: () => opts.suspects.recordBegun(work, run),
      onStreamEnd: () => slot.recordPace(buildEventSample(slot, work)),
    })
    if (isSuccess(response.status) && (!work.route.streams || work.stream.events > attempt.eventsBefore)) opts.suspects.recordServed(work)
    if (serverError) return recordFailure(request, attempt, serverError)
    const hasFailed = response.status >= MIN_SERVER_ERROR_STATUS
    opts.fleet.recordOutcome(slot.backend, hasFailed, opts.clock.readTime())
    if (!hasFailed) slot.backend.outlier.recordSuccess()
    return undefined
  } catch (thrown) {
    return await recordBreak(request, attempt, thrown)
  } finally {
    releaseAttempt(attempt)
  }
}

/** Ends an attempt whose response is not relayed. */
export async function endAttempt (request: RequestRun, attempt: SentAttempt, reason: PulleystackError): Promise<void> {
  attempt.signal.abort(reason)
  try {
    await attempt.response
    countRun(request, attempt)
  } catch (thrown) {
    if (convertToError(thrown).ran !== Ran.NO) countRun(request, attempt)
  } finally {
    releaseAttempt(attempt)
  }
}

/** Records that an attempt beside a silent server was rejected, or failed before its response could be relayed. */
export async function recordRejection (request: RequestRun, attempt: SentAttempt, thrown: unknown): Promise<void> {
  try {
    await recordBreak(request, attempt, thrown, { wasTakeover: true })
  } finally {
    releaseAttempt(attempt)
  }
}

/** Records that the server has begun to respond. */
export function recordResponse (request: RequestRun, attempt: SentAttempt): void {
  const { fleet, clock } = request.opts
  countRun(request, attempt)
  fleet.recordReached(attempt.slot.backend, clock.readTime())
  attempt.slot.recordResponse()
}

function countRun ({ progress }: RequestRun, attempt: SentAttempt): void {
  if (!attempt.hasCountedRun) progress.runs++
  attempt.hasCountedRun = true
}

function releaseAttempt ({ signal, run, slot }: SentAttempt): void {
  signal.release()
  run.release()
  slot.release()
}

/** Records why an attempt failed, and returns the error. */
async function recordBreak (request: RequestRun, attempt: SentAttempt, thrown: unknown, cause: FailureCause = {}): Promise<PulleystackError> {
  const { opts, work, progress } = request
  const { slot, run, signal: { signal }, facts, sentAt } = attempt
  const error = signal.aborted && signal.reason instanceof PulleystackError ? withRan(signal.reason, thrown) : convertToError(thrown)
  if (error.ran !== Ran.NO) countRun(request, attempt)
  const broken = { backend: slot.backend, run, send: facts.send, sentAt, events: work.stream.events - attempt.eventsBefore }
  const verdict = checkPath(request, error, broken, signal.aborted)
  const record = (settled: PathVerdict | undefined): PulleystackError => {
    const isPathLost = opts.fleet.contacts.isCutOff || isPathFailure(settled)
    progress.hasLostPath ||= isPathLost
    return recordFailure(request, attempt, error, { ...cause, wasAborted: signal.aborted, wasReplaced: progress.successor !== undefined, isPathLost })
  }
  // The response of the attempt that has taken over is to be relayed at once.
  if (progress.successor && signal.aborted) return record(slot.backend.path.verdict)
  return record(await verdict)
}

function buildExchange ({ opts, work, progress }: RequestRun, slot: BackendSlot): Omit<ExchangeOptions, 'signal'> {
  const sentAt = opts.clock.readTime()
  const headers = opts.protocol.buildForwardHeaders(work.rawHeaders, {
    backendId: slot.backend.id,
    waitMs: Math.max(1, Math.floor(work.deadline - sentAt)),
    priority: work.priority,
    team: work.team?.name,
    removesAccessKey: work.removesAccessKey,
    lastEventId: progress.stream.lastEventId,
    bodyBytes: work.body?.length,
  })
  return {
    agent: opts.agent,
    protocol: opts.protocol,
    clock: opts.clock,
    address: slot.backend.entry.address,
    method: work.method,
    path: work.path,
    headers,
    body: work.body,
    requestId: work.requestId,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    onHead: (head) => opts.reports.applyResponse(slot.backend, head, { requestId: work.requestId, sentAt }),
  }
}

function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}

/** Finds out whether a failed attempt was due to the server or to this instance's path to it; undefined if the server is reachable. */
async function checkPath (
  { opts, work }: RequestRun,
  error: PulleystackError,
  attempt: BrokenAttempt,
  wasAborted: boolean,
): Promise<PathVerdict | undefined> {
  const { backend } = attempt
  if (backend.path.isLost && error.code === 'ATTEMPT_FAILED_NOT_RUN') return backend.path.verdict
  if (error.code === 'ATTEMPT_FAILED_NOT_RUN') {
    backend.path.recordFailure(opts.clock.readTime())
    return settleWithin(opts.clock, opts.paths.check(backend), MAX_VERDICT_WAIT_MS)
  }
  if (error.code === 'CALLER_GONE' || error.ran === Ran.NO) return undefined
  // Only a lost connection indicates a crash; a silent server may still be alive.
  if (error.code === 'ATTEMPT_FAILED_UNKNOWN' && !wasAborted) return opts.suspects.checkServerEnd(work, attempt)
  if (hasJustBeenReached(opts, backend)) return undefined
  const verdict = opts.paths.inspect(backend)
  return work.signal.aborted ? undefined : settleWithin(opts.clock, verdict, MAX_INSPECTION_WAIT_MS)
}

/** Each connection may hold a slot of the server for a moment, so a path that has just worked is not inspected. */
function hasJustBeenReached ({ clock }: RunOptions, { path }: Backend): boolean {
  return path.hasBeenReachedSince(clock.readTime() - RECENT_CONTACT_MS)
}

/** Counts a silent server like one whose attempt has failed, so that other requests avoid it. */
function recordOverdue (opts: RunOptions, backend: Backend): void {
  const now = opts.clock.readTime()
  probePausedServer(opts, backend)
  opts.fleet.recordOutcome(backend, true, now)
  if (isSlowOnly(opts.fleet, backend, now) || !backend.outlier.recordFailure(now, opts.random.readFraction())) return
  opts.log.record(DecisionKinds.BACKEND_EJECTED, { backend: backend.id, address: backend.entry.address })
}

/** Finds a lost path while streams on it could still be resumed elsewhere in time. */
function probePausedServer (opts: RunOptions, backend: Backend): void {
  if (!backend.path.isLost && !hasJustBeenReached(opts, backend)) void opts.paths.inspect(backend)
}

function isPathFailure (verdict: PathVerdict | undefined): boolean {
  return verdict === PathVerdicts.PATH_LOST || verdict === PathVerdicts.UNKNOWN
}

/** Why an attempt failed. */
interface FailureCause {
  wasAborted?: boolean
  /** Another attempt has taken over from it. */
  wasReplaced?: boolean
  /** It was to take over from a silent server. */
  wasTakeover?: boolean
  /** This instance can't reach the server, though others may. */
  isPathLost?: boolean
}

function recordFailure (
  { opts, work }: RequestRun,
  { slot, facts }: SentAttempt,
  error: PulleystackError,
  { wasAborted = false, wasReplaced = false, wasTakeover = false, isPathLost = false }: FailureCause = {},
): PulleystackError {
  const { backend } = slot
  const now = opts.clock.readTime()
  const wasRefused = error.code === 'BACKEND_REFUSED'
  // The server is at work, or may have room later, and there may be no other that the request can go on at.
  if (wasReplaced || (wasRefused && (wasTakeover || mustBeFinished(work)))) work.deniedUntil.set(backend.id, now + REFUSED_MS)
  else if (!backend.reported.backoff.isActive(now)) work.excluded.add(backend.id)
  opts.log.record(DecisionKinds.ATTEMPT_FAILED, { ...facts, code: error.code, ran: error.ran, reason: error.message })
  // Another request would likely be rejected as well, and the server bears few rejections.
  if (wasRefused && opts.queue.isBrittle(work)) backend.recordDenial(ChoiceFailures.FULL, now + BRITTLE_DENIAL_MS, now)
  const isSilent = error.code === 'DEADLINE_UNKNOWN' && work.stream.events === 0
  const isUncounted = isPathLost || (!isSilent && (error.code === 'CALLER_GONE' || wasRefused || error.code === 'ATTEMPT_FAILED_NOT_RUN' || work.signal.aborted))
  if (!isUncounted) opts.fleet.recordOutcome(backend, true, now)
  const isOutlierFailure = !isUncounted && !(wasAborted && isSlowOnly(opts.fleet, backend, now))
  if (isOutlierFailure && backend.outlier.recordFailure(now, opts.random.readFraction())) {
    opts.log.record(DecisionKinds.BACKEND_EJECTED, { backend: backend.id, address: backend.entry.address })
  }
  return error
}

// The reason explains why the attempt was aborted; whether it may have run is known from the exchange's own error.
function withRan (reason: PulleystackError, thrown: unknown): PulleystackError {
  const failure = convertToError(thrown)
  // Silence before there was a connection is a failed connection, whose retry uses no budget.
  if (reason.code === 'ATTEMPT_FAILED_UNKNOWN' && failure.code === 'ATTEMPT_FAILED_NOT_RUN') return failure
  const { ran } = failure
  return new PulleystackError(reason.code, reason.message, { cause: thrown, ran: ran === Ran.NO ? Ran.NO : Ran.UNKNOWN })
}
