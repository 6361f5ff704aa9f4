import type { RoutedProtocol } from '@pulleystack/backend.interfaces'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import type { BackendAgent } from '@pulleystack/routing.forward'
import { openExchange } from '@pulleystack/routing.forward'
import type { StreamOrigins } from '@pulleystack/routing.origins'
import { ChoiceFailures, PathVerdicts, readSoftwareVersion, type Backend, type BackendFleet, type PathVerdict, type ServerReports } from '@pulleystack/routing.fleet'
import type { PathChecker } from '@pulleystack/routing.paths'
import { DecisionKinds } from '@pulleystack/timeline.decisions'
import { admitToSlot, type SlotAdmission } from './admitToSlot.js'
import { createAttemptSignal } from './AttemptSignal.js'
import type { BackendSlot } from './BackendSlot.js'
import { buildEventSample } from './buildPaceSample.js'
import type { ClientResponse } from './ClientResponse.js'
import type { PeerForwarder } from './PeerForwarder.js'
import { MIN_SERVER_ERROR_STATUS, relayServerResponse } from './relayServerResponse.js'
import { dropRetryPermit, mayRepeat, mayRetry, reserveSwitch, takeRetryPermit, type RetryOptions } from './retryAttempt.js'
import { recordSend } from './recordSend.js'
import { beginStream, endStream, recordOrigin } from './trackStream.js'
import type { ReservedSlots } from './ReservedSlots.js'
import { isSlowOnly } from './isSlowOnly.js'
import type { RoutedWork } from './RoutedWork.js'
import { settleWithin } from './settleWithin.js'
import type { ResponseTimes } from './ResponseTimes.js'
import { runForwardedAttempt } from './runForwardedAttempt.js'
import { createProgress, type RunProgress } from './RunProgress.js'
import type { StreamFlusher } from './StreamFlusher.js'
import type { BrokenAttempt, SuspectGate } from './SuspectGate.js'

const CONNECT_TIMEOUT_MS = 300
/** An instance that reaches the server answers within a few milliseconds; one that doesn't may take far longer. */
const MAX_VERDICT_WAIT_MS = 50
/** As long as a connection attempt to a silent server, and that answer. */
const MAX_INSPECTION_WAIT_MS = 350
/** A server that responded within this time is reachable. */
const RECENT_CONTACT_MS = 250
/** Time for which a brittle server gets no requests after it rejected one. */
const BRITTLE_DENIAL_MS = 250

/** Dependencies shared by the attempts of all requests. */
export interface RunOptions extends RetryOptions {
  clock: Clock
  random: RandomSource
  agent: BackendAgent
  suspects: SuspectGate
  paths: PathChecker
  /** Undefined where other instances can't help. */
  forwarder?: PeerForwarder
  protocol: RoutedProtocol
  slots: Pick<ReservedSlots, 'acquire'>
  fleet: BackendFleet
  reports: ServerReports
  /** Origins of streams, by which their clients take them up again. */
  origins: Pick<StreamOrigins, 'begin' | 'store' | 'record' | 'end'>
  /** Schedules the writes of stream events. */
  flusher: StreamFlusher
  responseTimes: ResponseTimes
}

/** Runs one request until its response has been sent; rejects with the error for the client if no server's response can be relayed. */
export async function runRequest (opts: RunOptions, work: RoutedWork, client: ClientResponse): Promise<void> {
  let isWhole = false
  try {
    isWhole = await runAttempts(opts, work, client)
  } finally {
    endStream(opts.origins, work, { isWhole })
  }
}

/** Returns whether a server's response was relayed to its end, rather than the error response of a failed attempt. */
async function runAttempts (opts: RunOptions, work: RoutedWork, client: ClientResponse): Promise<boolean> {
  const progress = createProgress(work.stream)
  try {
    return await runAttemptsInTurn(opts, work, progress, client)
  } finally {
    dropRetryPermit(progress)
    progress.nextSlot?.release()
  }
}

async function runAttemptsInTurn (opts: RunOptions, work: RoutedWork, progress: RunProgress, client: ClientResponse): Promise<boolean> {
  for (;;) {
    const admission = await admitAttempt(opts, work, progress, client)
    if (!admission) break
    const error = isForward(admission) ? await forwardAttempt(opts, work, progress, client) : await runAttempt(opts, work, progress, admission, client)
    if (!error) return true
    progress.error = error
    if (mayRetry(opts, work, progress, error)) continue
    if (!progress.serverFailure || client.hasBegun) throw createFinalError(progress, error)
    break
  }
  if (progress.serverFailure) client.sendBuffered(progress.serverFailure.response, progress.serverFailure.body)
  return false
}

/** The next attempt is to be made by another instance. */
const FORWARD = Symbol('forward')
type AttemptAdmission = SlotAdmission | typeof FORWARD

function isForward (admission: AttemptAdmission): admission is typeof FORWARD {
  return admission === FORWARD
}

/** Admits the next attempt; undefined if there can be none and a server's error response has to be relayed. */
async function admitAttempt (opts: RunOptions, work: RoutedWork, progress: RunProgress, client: ClientResponse): Promise<AttemptAdmission | undefined> {
  try {
    const admission = await chooseAdmission(opts, work, progress)
    if (!progress.error || takeRetryPermit(progress)) return admission
    if (!isForward(admission)) {
      admission.run.release()
      admission.slot.release()
    }
    throw progress.error
  } catch (thrown) {
    dropRetryPermit(progress)
    if (progress.serverFailure && !client.hasBegun) return undefined
    const error = convertToError(thrown)
    throw createFinalError(progress, error)
  }
}

/** Prefers another instance once the request has met a lost path, since further paths of this instance are likely lost too. */
async function chooseAdmission (opts: RunOptions, work: RoutedWork, progress: RunProgress): Promise<AttemptAdmission> {
  const mayForward = (): boolean => opts.forwarder?.mayForward(work) ?? false
  const { nextSlot } = progress
  progress.nextSlot = undefined
  if (progress.hasLostPath && mayForward()) {
    nextSlot?.release()
    return FORWARD
  }
  try {
    return await admitToSlot(opts, work, nextSlot)
  } catch (thrown) {
    if (convertToError(thrown).code === 'PATH_LOST' && mayForward()) return FORWARD
    throw thrown
  }
}

/** Runs an attempt through another instance; returns the error, or throws it if no other attempt may follow. */
async function forwardAttempt (opts: RunOptions, work: RoutedWork, progress: RunProgress, client: ClientResponse): Promise<PulleystackError | undefined> {
  if (!opts.forwarder) return new PulleystackError('PATH_LOST', 'Requests are not forwarded')
  const failure = await runForwardedAttempt({ ...opts, forwarder: opts.forwarder }, work, progress, client)
  if (failure?.isFinal) throw createFinalError(progress, failure.error)
  return failure?.error
}

/** Sends the request once; returns the error if the response was not relayed completely. */
async function runAttempt (
  opts: RunOptions,
  work: RoutedWork,
  progress: RunProgress,
  { slot, run }: SlotAdmission,
  client: ClientResponse,
): Promise<PulleystackError | undefined> {
  const { clock, log, suspects } = opts
  const origin = { service: work.service.name, version: readSoftwareVersion(slot.backend.entry) }
  await beginStream(opts.origins, work, origin)
  const sentAt = clock.readTime()
  const attempt = createAttemptSignal(clock, work, {
    isSilenceWatched: mayRepeat(work) && progress.runs + 1 < work.route.maxAttempts,
    lostPath: slot.backend.path.losses,
    onLongPause: () => probePausedServer(opts, slot.backend),
    overdueMs: opts.responseTimes.estimateOverdueMs(work.route.name, slot.backend.id),
    reserveSwitch: () => reserveSwitch(opts, work, progress, slot),
    onOverdue: () => recordOverdue(opts, slot.backend),
    isSlotAwaited: () => opts.queue.isSlotAwaited(work),
    onFirstData: (ms) => opts.responseTimes.record(work.route.name, slot.backend.id, ms),
  })
  progress.sends++
  const eventsBefore = work.stream.events
  const facts = { request: work.requestId, backend: slot.backend.id, send: progress.sends }
  let hasCountedRun = false
  recordSend(log, work, { slot, facts, sentAt })
  try {
    const exchange = buildExchange(opts, work, progress, slot)
    slot.recordSent()
    const response = await openExchange({ ...exchange, signal: attempt.signal })
    progress.runs++
    hasCountedRun = true
    opts.fleet.recordReached(slot.backend, clock.readTime())
    slot.recordResponse()
    const serverError = await relayServerResponse(opts, {
      work,
      progress,
      client,
      response,
      attempt,
      onFirstEvent: () => recordOrigin(opts.origins, work, origin),
      onPrefilled: () => slot.recordPrefilled(),
      onBegun: () => suspects.recordBegun(work, run),
      onStreamEnd: () => slot.recordPace(buildEventSample(slot, work)),
    })
    if (isSuccess(response.status) && (!work.route.streams || work.stream.events > eventsBefore)) suspects.recordServed(work)
    if (serverError) return recordFailure(opts, work, slot, serverError, facts)
    const hasFailed = response.status >= MIN_SERVER_ERROR_STATUS
    opts.fleet.recordOutcome(slot.backend, hasFailed, clock.readTime())
    if (!hasFailed) slot.backend.outlier.recordSuccess()
    return undefined
  } catch (thrown) {
    const error = attempt.signal.aborted && attempt.signal.reason instanceof PulleystackError ? withRan(attempt.signal.reason, thrown) : convertToError(thrown)
    if (error.ran !== Ran.NO && !hasCountedRun) progress.runs++
    const broken = { backend: slot.backend, run, send: progress.sends, sentAt, events: work.stream.events - eventsBefore }
    const verdict = await checkPath(opts, work, error, broken, attempt.signal.aborted)
    const isPathLost = opts.fleet.contacts.isCutOff || isPathFailure(verdict)
    progress.hasLostPath ||= isPathLost
    return recordFailure(opts, work, slot, error, facts, { wasAborted: attempt.signal.aborted, isPathLost })
  } finally {
    attempt.release()
    run.release()
    slot.release()
  }
}

function buildExchange (opts: RunOptions, work: RoutedWork, progress: RunProgress, slot: BackendSlot): Omit<Parameters<typeof openExchange>[0], 'signal'> {
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
  opts: RunOptions,
  work: RoutedWork,
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
  /** This instance can't reach the server, though others may. */
  isPathLost?: boolean
}

function recordFailure (
  opts: RunOptions,
  work: RoutedWork,
  slot: BackendSlot,
  error: PulleystackError,
  facts: { request: string, backend: string, send: number },
  { wasAborted = false, isPathLost = false }: FailureCause = {},
): PulleystackError {
  const { backend } = slot
  // A paused server gets no requests anyway, and may get this one after its pause.
  if (!backend.reported.backoff.isActive(opts.clock.readTime())) work.excluded.add(backend.id)
  opts.log.record(DecisionKinds.ATTEMPT_FAILED, { ...facts, code: error.code, ran: error.ran, reason: error.message })
  // Another request would likely be rejected as well, and the server bears few rejections.
  if (error.code === 'BACKEND_REFUSED' && opts.queue.isBrittle(work)) backend.recordDenial(ChoiceFailures.FULL, opts.clock.readTime() + BRITTLE_DENIAL_MS, opts.clock.readTime())
  const isSilent = error.code === 'DEADLINE_UNKNOWN' && work.stream.events === 0
  const isUncounted = isPathLost || (!isSilent && (error.code === 'CALLER_GONE' || error.code === 'BACKEND_REFUSED' || error.code === 'ATTEMPT_FAILED_NOT_RUN' || work.signal.aborted))
  if (!isUncounted) opts.fleet.recordOutcome(backend, true, opts.clock.readTime())
  const isOutlierFailure = !isUncounted && !(wasAborted && isSlowOnly(opts.fleet, backend, opts.clock.readTime()))
  if (isOutlierFailure && backend.outlier.recordFailure(opts.clock.readTime(), opts.random.readFraction())) {
    opts.log.record(DecisionKinds.BACKEND_EJECTED, { backend: backend.id, address: backend.entry.address })
  }
  return error
}

/** Creates the error for the client. It states that the request did not run only if no attempt may have run. */
function createFinalError (progress: RunProgress, cause: PulleystackError): PulleystackError {
  return progress.runs === 0 ? cause : createUncertainError(cause)
}

function createUncertainError (cause: PulleystackError): PulleystackError {
  if (cause.ran !== Ran.NO) return cause
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', cause.message, { cause })
}

// The reason explains why the attempt was aborted; whether it may have run is known from the exchange's own error.
function withRan (reason: PulleystackError, thrown: unknown): PulleystackError {
  const failure = convertToError(thrown)
  // Silence before there was a connection is a failed connection, whose retry uses no budget.
  if (reason.code === 'ATTEMPT_FAILED_UNKNOWN' && failure.code === 'ATTEMPT_FAILED_NOT_RUN') return failure
  const { ran } = failure
  return new PulleystackError(reason.code, reason.message, { cause: thrown, ran: ran === Ran.NO ? Ran.NO : Ran.UNKNOWN })
}
