import { PulleystackError } from '@pulleystack/core.errors'
import type { ExchangeResponse } from '@pulleystack/routing.forward'
import type { RetryPermit, WindowBudget } from '@pulleystack/routing.retries'
import { admitElsewhere } from './admitToSlot.js'
import type { Takeover } from './SilenceWatch.js'
import { MIN_SERVER_ERROR_STATUS } from './relayServerResponse.js'
import type { RequestRun } from './RequestRun.js'
import { countOpenRuns, mayAddAttempt } from './retryAttempt.js'
import { openForward, relayForward } from './runForwardedAttempt.js'
import { endAttempt, recordResponse, recordRejection, relayAttempt, sendAttempt, type SentAttempt } from './serverAttempt.js'

/** A server that has had the whole request for this long without rejecting it counts as running it; two servers work on one request no longer than that. */
const ACCEPTANCE_MS = 250
const OK_STATUS = 200

/**
 * Begins an attempt beside one whose server is silent. It takes over once it has begun: its response has arrived, or its server has not rejected it.
 * Undefined if none may begin now.
 */
export function beginTakeover (run: RequestRun, silent: SentAttempt): Takeover | undefined {
  const { opts, work, progress } = run
  if (progress.takeover || progress.successor || !mayAddAttempt(work, progress, silent)) return undefined
  if (mayLeave(run, silent)) return { outcome: Promise.resolve(true), cancel: () => undefined }
  const mustForward = isPathLost(run, silent) && opts.forwarder?.mayForward(work) === true
  if (!mustForward && !opts.queue.hasSlotElsewhere(work, silent.slot)) return undefined
  const permits = reservePermits(opts.findBudget(work.service.name))
  if (!permits) return undefined
  const ending = new AbortController()
  const begin = mustForward ? forwardBeside : sendBeside
  const outcome = begin(run, { silent, permits, ending: ending.signal })
    .catch(() => false)
    .finally(() => {
      progress.takeover = undefined
      permits.first.release()
      if (progress.retryPermit !== permits.spare) permits.spare.release()
    })
  progress.takeover = { outcome, cancel: () => ending.abort() }
  return progress.takeover
}

/** This instance doesn't reach the silent server, so that it can't end the work of that one either. */
function isPathLost ({ opts }: RequestRun, { slot }: SentAttempt): boolean {
  return opts.fleet.contacts.isCutOff || slot.backend.path.isLost
}

/** A request whose server can't respond to this instance leaves its slot to those that wait for it, and waits like them. */
function mayLeave (run: RequestRun, silent: SentAttempt): boolean {
  return isPathLost(run, silent) && run.work.stream.events === 0 && run.opts.queue.isSlotAwaited(run.work)
}

/** Retry permits for an attempt beside another one. */
interface TakeoverPermits {
  first: RetryPermit
  /** For a third attempt, if the server rejects the second one after it has taken over. */
  spare: RetryPermit
}

function reservePermits (budget: WindowBudget): TakeoverPermits | undefined {
  const first = budget.reserve()
  const spare = first && budget.reserve()
  if (first && !spare) first.release()
  return first && spare && { first, spare }
}

interface TakeoverOptions {
  silent: SentAttempt
  permits: TakeoverPermits
  /** Aborted when the silent server has responded before the request was sent to another one, or the request has ended. */
  ending: AbortSignal
}

/** Sends the request to another server; resolves with whether that attempt has begun. */
async function sendBeside (run: RequestRun, { silent, permits, ending }: TakeoverOptions): Promise<boolean> {
  const { opts, work, progress } = run
  const admission = await admitElsewhere(opts, work, silent.slot, ending)
  if (!admission) return false
  if (ending.aborted || !permits.first.take()) {
    admission.run.release()
    admission.slot.release()
    return false
  }
  // A server that may run the request must not be given up for one that goes on.
  silent.hold.begin()
  const attempt = await sendAttempt(run, admission, { openRuns: countOpenRuns(silent) })
  const cancel = (): Promise<void> => endAttempt(run, attempt, createReplacedError())
  if (!await waitForAcceptance(run, attempt, ending)) {
    silent.hold.release()
    return false
  }
  progress.retryPermit = permits.spare
  progress.successor = { relay: () => relayAttempt(run, attempt), cancel: () => void cancel() }
  work.hasAbandonedRun = true
  return true
}

/** Whether a sent attempt has begun; ends it otherwise. */
async function waitForAcceptance (run: RequestRun, attempt: SentAttempt, ending: AbortSignal): Promise<boolean> {
  const acceptance = createAcceptance(run, attempt, ending)
  try {
    const response = await acceptance.settled
    if (ending.aborted) await endAttempt(run, attempt, createReplacedError())
    else if (!response || isUsable(run, response)) return true
    else await recordUnusable(run, attempt, response)
  } catch (thrown) {
    await recordRejection(run, attempt, thrown)
  } finally {
    acceptance.stop()
  }
  return false
}

interface Acceptance {
  /** Settles with the response, or without one when the server has had the request for long enough or the takeover has to end. */
  settled: Promise<ExchangeResponse | undefined>
  stop: () => void
}

function createAcceptance ({ opts }: RequestRun, attempt: SentAttempt, ending: AbortSignal): Acceptance {
  let stop = (): void => undefined
  const settled = new Promise<ExchangeResponse | undefined>((resolve, reject) => {
    let cancelTimer = (): void => undefined
    let isStopped = false
    const finish = (): void => resolve(undefined)
    attempt.response.then(resolve, reject)
    void attempt.written.then(() => {
      if (!isStopped) cancelTimer = opts.clock.setTimer(ACCEPTANCE_MS, finish)
    })
    ending.addEventListener('abort', finish, { once: true })
    if (ending.aborted) finish()
    stop = () => {
      isStopped = true
      cancelTimer()
      ending.removeEventListener('abort', finish)
    }
  })
  return { settled, stop }
}

/** Whether the response can be relayed in place of that of the silent server. */
function isUsable ({ client }: RequestRun, { status }: ExchangeResponse): boolean {
  return client.hasBegun ? status === OK_STATUS : status < MIN_SERVER_ERROR_STATUS
}

async function recordUnusable (run: RequestRun, attempt: SentAttempt, response: ExchangeResponse): Promise<void> {
  recordResponse(run, attempt)
  response.discard()
  await recordRejection(run, attempt, new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The server responded with status ${response.status}`))
}

/** Sends the request to another instance; resolves with whether a server has responded through it. */
async function forwardBeside (run: RequestRun, { silent, permits, ending }: TakeoverOptions): Promise<boolean> {
  if (!permits.first.take()) return false
  const forward = openForward(run, { openRuns: countOpenRuns(silent) })
  const cancel = (): void => {
    forward.signal.abort(createReplacedError())
    forward.signal.release()
  }
  ending.addEventListener('abort', cancel, { once: true })
  try {
    const opened = await forward.opened
    if ('error' in opened || ending.aborted || !isUsable(run, opened)) {
      cancel()
      return false
    }
    run.progress.successor = { relay: () => relayForward(run, forward, opened), cancel }
    run.work.hasAbandonedRun = true
    return true
  } finally {
    ending.removeEventListener('abort', cancel)
  }
}

function createReplacedError (): PulleystackError {
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'Another attempt has responded, or the request has ended')
}
