import { RepeatModes } from '@pulleystack/config.routes'
import type { RoutedProtocol } from '@pulleystack/backend.interfaces'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import type { BackendAgent, ExchangeAnswer } from '@pulleystack/routing.forward'
import { openExchange } from '@pulleystack/routing.forward'
import type { BackendFleet, StatementIntake } from '@pulleystack/routing.fleet'
import type { SuspectRun } from '@pulleystack/routing.quarantine'
import type { RetryPermit, WindowBudget } from '@pulleystack/routing.retries'
import { DecisionKinds, type DecisionLog, type RetryVerdict } from '@pulleystack/timeline.decisions'
import { createAttemptSignal, type AttemptSignal } from './AttemptSignal.js'
import type { BackendPlace } from './BackendSlot.js'
import type { BackendQueue } from './BackendQueue.js'
import type { ClientAnswer } from './ClientAnswer.js'
import { relayStream, type StreamProgress } from './relayStream.js'
import type { RoutedWork } from './RoutedWork.js'
import type { StreamPace } from './StreamPace.js'
import type { SuspectGate } from './SuspectGate.js'

const CONNECT_MS = 300
const MAX_BODY_BYTES = 32 << 20
/** Sends of one request, those included that its servers refused. */
const MAX_SENDS = 4
const SERVER_FAILURE = 500
/** What the attempts of all requests share. */
export interface RunOptions {
  clock: Clock
  random: RandomSource
  agent: BackendAgent
  suspects: SuspectGate
  protocol: RoutedProtocol
  queue: BackendQueue
  fleet: BackendFleet
  statements: StatementIntake
  /** When events that came close together are written. */
  pace: StreamPace
  log: DecisionLog
  findBudget: (service: string) => WindowBudget
}

/** What has become of one request over its attempts. */
interface RunProgress {
  sends: number
  /** Attempts that may have run. */
  runs: number
  stream: StreamProgress
  /** A server's own failure, passed on when no other attempt does better. */
  failure: { answer: ExchangeAnswer, body: Buffer } | undefined
  /** Why the last attempt failed. */
  error: PulleystackError | undefined
  /** What the next attempt costs; undefined when it costs nothing. */
  permit: RetryPermit | undefined
}

/** Runs one request to its answer; rejects with the error that the client gets when no server's answer can be passed on. */
export async function runRequest (opts: RunOptions, work: RoutedWork, client: ClientAnswer): Promise<void> {
  const progress: RunProgress = { sends: 0, runs: 0, stream: work.stream, failure: undefined, error: undefined, permit: undefined }
  for (;;) {
    const right = await acquireRight(opts, work, progress)
    if (!right) break
    const error = await runAttempt(opts, work, progress, right, client)
    if (!error) return
    progress.error = error
    if (mayRetry(opts, work, progress, error)) continue
    if (!progress.failure || client.hasBegun) throw createFinalError(progress, error)
    break
  }
  if (progress.failure) client.sendWhole(progress.failure.answer, progress.failure.body)
}

/** What one attempt needs. */
interface AttemptRight {
  place: BackendPlace
  run: SuspectRun
}

/** The right to the next attempt; undefined when a server's failure is all there is to pass on. */
async function acquireRight (opts: RunOptions, work: RoutedWork, progress: RunProgress): Promise<AttemptRight | undefined> {
  try {
    const right = await admitToPlace(opts, work)
    if (!progress.error || takePermit(progress)) return right
    right.run.release()
    right.place.end()
    throw progress.error
  } catch (thrown) {
    progress.permit?.giveBack()
    if (progress.failure) return undefined
    const error = convertToError(thrown)
    throw createFinalError(progress, error)
  }
}

/** A place for a request that may run; what becomes known of it while it waits for the place is judged anew. */
async function admitToPlace (opts: RunOptions, work: RoutedWork): Promise<AttemptRight> {
  for (;;) {
    const run = await opts.suspects.admit(work)
    const place = await acquirePlace(opts, work, run)
    if (!opts.suspects.hasChanged(work)) return { place, run }
    place.end()
    run.release()
  }
}

async function acquirePlace (opts: RunOptions, work: RoutedWork, run: SuspectRun): Promise<BackendPlace> {
  try {
    return await opts.queue.acquire(work)
  } catch (thrown) {
    run.release()
    throw thrown
  }
}

/** Pays for the attempt that is about to be made; false when it can't be paid for any more. */
function takePermit (progress: RunProgress): boolean {
  const { permit } = progress
  progress.permit = undefined
  return permit?.take() ?? true
}

/** Sends the request once; gives the error when the answer was not passed on whole. */
async function runAttempt (
  opts: RunOptions,
  work: RoutedWork,
  progress: RunProgress,
  { place, run }: AttemptRight,
  client: ClientAnswer,
): Promise<PulleystackError | undefined> {
  const { clock, log, suspects } = opts
  const sentAt = clock.readTime()
  const attempt = createAttemptSignal(clock, work, {
    isWatched: mayRepeat(work) && progress.runs + 1 < work.route.maxAttempts,
    canMove: () => progress.sends < MAX_SENDS && opts.findBudget(work.service.name).left >= 1 && opts.queue.hasPlaceBeside(work, place),
  })
  progress.sends++
  const facts = { request: work.requestId, backend: place.backend.id, send: progress.sends }
  log.record(DecisionKinds.ATTEMPT_SENT, {
    ...facts,
    running: place.backend.readLoad().running,
    prefillTokens: place.backend.readLoad().prefillTokens,
    keptTokens: place.choice.keptTokens,
    leftMs: Math.round(work.deadline - sentAt),
    limitPerSecond: place.backend.stated.limit.perSecond,
  })
  try {
    const exchange = buildExchange(opts, work, progress, place)
    place.noteSent()
    const answer = await openExchange({ ...exchange, signal: attempt.signal })
    progress.runs++
    place.backend.noteReached(clock.readTime())
    place.noteAnswered()
    const failed = await passOn(opts, { work, progress, place, client, answer, attempt })
    suspects.noteServed(work)
    if (failed) return noteServerFailure(opts, work, place, failed, facts)
    const hasFailed = answer.status >= SERVER_FAILURE
    opts.fleet.noteOutcome(place.backend, hasFailed, clock.readTime())
    if (!hasFailed) place.backend.outlier.noteSuccess()
    return undefined
  } catch (thrown) {
    const error = attempt.signal.aborted && attempt.signal.reason instanceof PulleystackError ? withRan(attempt.signal.reason, thrown) : convertToError(thrown)
    if (error.ran !== Ran.NO && progress.runs < progress.sends) progress.runs++
    // A server that was silent may still be there; that its connections broke is what tells.
    if (error.code === 'ATTEMPT_FAILED_UNKNOWN' && !attempt.signal.aborted) {
      await suspects.noteBroken(work, { backend: place.backend, run, send: progress.sends, sentAt })
    }
    return noteServerFailure(opts, work, place, error, facts)
  } finally {
    attempt.release()
    run.release()
    place.end()
  }
}

/** Passes an answer on; gives an error for a server's own failure that another attempt may mend. */
async function passOn (opts: RunOptions, it: {
  work: RoutedWork
  progress: RunProgress
  place: BackendPlace
  client: ClientAnswer
  answer: ExchangeAnswer
  attempt: AttemptSignal
}): Promise<PulleystackError | undefined> {
  const { work, progress, answer, client } = it
  if (work.route.streams && answer.status === 200) {
    await relayStream({
      clock: opts.clock,
      answer,
      client,
      progress: progress.stream,
      pace: opts.pace,
      onEvents: it.attempt.noteBytes,
      onHeld: it.attempt.noteHeld,
      onFirstEvent: () => it.place.notePrefilled(),
    })
    return undefined
  }
  const body = await answer.readWhole(MAX_BODY_BYTES)
  it.attempt.noteBytes()
  it.place.notePrefilled()
  if (client.hasBegun) return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The server answered ${answer.status} where a stream was to go on`)
  if (answer.status < SERVER_FAILURE) {
    client.sendWhole(answer, body)
    return undefined
  }
  progress.failure = { answer, body }
  if (!mayRepeat(work)) {
    client.sendWhole(answer, body)
    return undefined
  }
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The server answered ${answer.status}`)
}

function buildExchange (opts: RunOptions, work: RoutedWork, progress: RunProgress, place: BackendPlace): Omit<Parameters<typeof openExchange>[0], 'signal'> {
  const sentAt = opts.clock.readTime()
  const headers = opts.protocol.buildForwardHeaders(work.rawHeaders, {
    backendId: place.backend.id,
    waitMs: Math.max(1, Math.floor(work.deadline - sentAt)),
    priority: work.priority,
    team: work.team?.name,
    hidesKey: work.hidesKey,
    lastEventId: progress.stream.lastEventId,
    bodyBytes: work.body?.length,
  })
  return {
    agent: opts.agent,
    protocol: opts.protocol,
    clock: opts.clock,
    address: place.backend.entry.address,
    method: work.method,
    path: work.path,
    headers,
    body: work.body,
    requestId: work.requestId,
    connectMs: CONNECT_MS,
    onHead: (head) => opts.statements.takeAnswer(place.backend, head, { requestId: work.requestId, sentAt }),
  }
}

function noteServerFailure (
  opts: RunOptions,
  work: RoutedWork,
  place: BackendPlace,
  error: PulleystackError,
  facts: { request: string, backend: string, send: number },
): PulleystackError {
  const { backend } = place
  // One that wants rest is left alone by all requests until then, and may have this one afterwards.
  if (!backend.stated.backoff.isActive(opts.clock.readTime())) work.excluded.add(backend.id)
  opts.log.record(DecisionKinds.ATTEMPT_FAILED, { ...facts, code: error.code, ran: error.ran, reason: error.message })
  if (error.code === 'ATTEMPT_FAILED_NOT_RUN') backend.noteUnreachable(opts.clock.readTime())
  const isSilent = error.code === 'DEADLINE_UNKNOWN' && work.stream.events === 0
  const isOwnFault = !isSilent && (error.code === 'CALLER_GONE' || error.code === 'BACKEND_REFUSED' || error.code === 'ATTEMPT_FAILED_NOT_RUN' || work.signal.aborted)
  if (!isOwnFault) opts.fleet.noteOutcome(backend, true, opts.clock.readTime())
  if (!isOwnFault && backend.outlier.noteFailure(opts.clock.readTime(), opts.random.readFraction())) {
    opts.log.record(DecisionKinds.BACKEND_EJECTED, { backend: backend.id, address: backend.entry.address })
  }
  return error
}

/** Whether another attempt may be made; reserves what it costs. */
function mayRetry (opts: RunOptions, work: RoutedWork, progress: RunProgress, error: PulleystackError): boolean {
  if (work.signal.aborted || progress.sends >= MAX_SENDS) return false
  if (progress.runs > 0 && !mayRepeat(work)) return false
  if (progress.runs >= work.route.maxAttempts) return false
  if (!reserveRetry(opts, work, progress, error)) return false
  if (progress.stream.events > 0) opts.log.record(DecisionKinds.STREAM_RESUMED, { request: work.requestId, after: progress.stream.lastEventId })
  return true
}

/** Reserves what another attempt costs; false when the budget does not allow one. */
function reserveRetry (opts: RunOptions, work: RoutedWork, progress: RunProgress, error: PulleystackError): boolean {
  const { name: service } = work.service
  const budget = opts.findBudget(service)
  const facts = budget.describe()
  // A server that could not be connected to has seen nothing, so that this costs no budget.
  const isFree = error.code === 'ATTEMPT_FAILED_NOT_RUN'
  progress.permit = isFree ? undefined : budget.reserve()
  const verdict: RetryVerdict = isFree ? 'free' : progress.permit ? 'paid' : 'denied'
  opts.log.record(DecisionKinds.RETRY_JUDGED, { request: work.requestId, service, verdict, ...facts })
  return verdict !== 'denied'
}

function mayRepeat (work: RoutedWork): boolean {
  return work.route.repeat === RepeatModes.REPEATABLE
}

/** The error that says no more and no less than is known about whether the request ran. */
function createFinalError (progress: RunProgress, cause: PulleystackError): PulleystackError {
  return progress.runs === 0 ? cause : createUncertain(cause)
}

function createUncertain (cause: PulleystackError): PulleystackError {
  if (cause.ran !== Ran.NO) return cause
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', cause.message, { cause })
}

// The reason says why the attempt ended; whether it may have run is what the exchange knows.
function withRan (reason: PulleystackError, thrown: unknown): PulleystackError {
  const { ran } = convertToError(thrown)
  return new PulleystackError(reason.code, reason.message, { cause: thrown, ran: ran === Ran.NO ? Ran.NO : Ran.UNKNOWN })
}
