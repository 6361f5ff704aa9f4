import type { RoutedProtocol } from '@pulleystack/backend.interfaces'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import type { HeldBytes } from '@pulleystack/gateway.http'
import type { BackendAgent } from '@pulleystack/routing.forward'
import type { StreamOrigins } from '@pulleystack/routing.origins'
import type { BackendFleet, ServerReports } from '@pulleystack/routing.fleet'
import type { PathChecker } from '@pulleystack/routing.paths'
import { admitToSlot, type SlotSource } from './admitToSlot.js'
import { beginTakeover } from './beginTakeover.js'
import type { ClientResponse } from './ClientResponse.js'
import type { PeerForwarder } from './PeerForwarder.js'
import { dropRetryPermit, mayRetry, takeRetryPermit, type RetryOptions } from './retryAttempt.js'
import type { RequestRun } from './RequestRun.js'
import type { RoutedWork } from './RoutedWork.js'
import type { ResponseTimes } from './ResponseTimes.js'
import { runForwardedAttempt, type ForwardFailure } from './runForwardedAttempt.js'
import { createProgress, type Attempt, type RunProgress } from './RunProgress.js'
import { relayAttempt, sendAttempt } from './serverAttempt.js'
import type { StreamFlusher } from './StreamFlusher.js'
import type { SuspectGate } from './SuspectGate.js'
import { endStream } from './trackStream.js'

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
  slots: SlotSource
  fleet: BackendFleet
  reports: ServerReports
  /** Origins of streams, by which their clients take them up again. */
  origins: Pick<StreamOrigins, 'begin' | 'store' | 'record' | 'end'>
  /** Schedules the writes of stream events. */
  flusher: StreamFlusher
  responseTimes: ResponseTimes
  /** Bounds what all clients together make this instance hold. */
  held: HeldBytes
}

/** Runs one request until its response has been sent; rejects with the error for the client if no server's response can be relayed. */
export async function runRequest (opts: RunOptions, work: RoutedWork, client: ClientResponse): Promise<void> {
  let isWhole = false
  try {
    isWhole = await runAttempts({ opts, work, client, progress: createProgress(work.stream), beginTakeover })
  } finally {
    endStream(opts.origins, work, { isWhole })
  }
}

/** Returns whether a server's response was relayed to its end, rather than the error response of a failed attempt. */
async function runAttempts (run: RequestRun): Promise<boolean> {
  const { progress } = run
  try {
    return await runAttemptsInTurn(run)
  } finally {
    progress.takeover?.cancel()
    progress.successor?.cancel()
    dropRetryPermit(progress)
  }
}

async function runAttemptsInTurn (run: RequestRun): Promise<boolean> {
  const { opts, work, progress, client } = run
  for (;;) {
    const attempt = takeSuccessor(progress) ?? await admitAttempt(run)
    if (!attempt) break
    const error = await attempt.relay()
    if (!error) return true
    progress.error = error
    // An attempt that began beside the failed one may take its place.
    await progress.takeover?.outcome
    if (progress.successor || mayRetry(opts, work, progress, error)) continue
    if (!progress.serverFailure || client.hasBegun) throw createFinalError(progress, error)
    break
  }
  if (progress.serverFailure) client.sendBuffered(progress.serverFailure.response, progress.serverFailure.body)
  return false
}

function takeSuccessor (progress: RunProgress): Attempt | undefined {
  const { successor } = progress
  progress.successor = undefined
  return successor
}

/** Admits the next attempt; undefined if there can be none and a server's error response has to be relayed. */
async function admitAttempt (run: RequestRun): Promise<Attempt | undefined> {
  const { progress, client } = run
  try {
    const attempt = await chooseAttempt(run)
    if (!progress.error || takeRetryPermit(progress)) return attempt
    attempt.cancel()
    throw progress.error
  } catch (thrown) {
    dropRetryPermit(progress)
    if (progress.serverFailure && !client.hasBegun) return undefined
    throw createFinalError(progress, convertToError(thrown))
  }
}

/** Prefers another instance once the request has met a lost path, since further paths of this instance are likely lost too. */
async function chooseAttempt (run: RequestRun): Promise<Attempt> {
  const { opts, work, progress } = run
  const mayForward = (): boolean => opts.forwarder?.mayForward(work) ?? false
  if (progress.hasLostPath && mayForward()) return createForward(run)
  try {
    return await admitToServer(run)
  } catch (thrown) {
    if (convertToError(thrown).code === 'PATH_LOST' && mayForward()) return createForward(run)
    throw thrown
  }
}

async function admitToServer (run: RequestRun): Promise<Attempt> {
  const admission = await admitToSlot(run.opts, run.work)
  return {
    relay: async () => relayAttempt(run, await sendAttempt(run, admission)),
    cancel: () => {
      admission.run.release()
      admission.slot.release()
    },
  }
}

/** Creates an attempt through another instance. */
function createForward (run: RequestRun): Attempt {
  return {
    relay: async () => judgeForward(run, await runForwardedAttempt(run)),
    cancel: () => undefined,
  }
}

/** Returns the error of a forwarded attempt, or throws it if no other attempt may follow. */
function judgeForward ({ progress }: RequestRun, failure: ForwardFailure | undefined): PulleystackError | undefined {
  if (failure?.isFinal) throw createFinalError(progress, failure.error)
  return failure?.error
}

/** Creates the error for the client. It states that the request did not run only if no attempt may have run. */
function createFinalError (progress: RunProgress, cause: PulleystackError): PulleystackError {
  return progress.runs === 0 ? cause : createUncertainError(cause)
}

function createUncertainError (cause: PulleystackError): PulleystackError {
  if (cause.ran !== Ran.NO) return cause
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', cause.message, { cause })
}
