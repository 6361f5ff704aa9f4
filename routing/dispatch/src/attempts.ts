import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { computeBackoff } from '@pulleystack/routing.retries'
import type { DispatchOptions, DispatchRequest } from './DispatchOptions.js'

const MAX_ATTEMPTS = 4

/** State of a request across its attempts. */
export interface Progress {
  attempts: number
  /** An attempt was sent and it is unknown whether it ran. */
  outcomeUnknown: boolean
  /** Part of the response has been received. */
  hasOutput: boolean
  /** The server of the latest attempt is lost, and another one can serve the request. */
  serverLost: boolean
  excluded: Set<string>
}

export function createProgress (): Progress {
  return { attempts: 0, outcomeUnknown: false, hasOutput: false, serverLost: false, excluded: new Set() }
}

/** Records a failed attempt. Unless it certainly did not run, the request can no longer be reported as not run. */
export function recordFailure (progress: Progress, error: PulleystackError, server: string, serverLost = false): void {
  progress.excluded.add(server)
  progress.serverLost = serverLost
  if (error.ran !== Ran.NO) progress.outcomeUnknown = true
}

/**
 * Waits before another attempt, or throws the request's final error. A non-repeatable request is retried only when it is
 * certain that nothing ran. Retries after an unreachable or lost server do not multiply traffic, and so cost no budget.
 */
export async function allowRetry (opts: DispatchOptions, work: DispatchRequest, progress: Progress, error: PulleystackError): Promise<void> {
  const final = createFinalError(progress, error)
  if (work.signal.aborted || progress.attempts >= MAX_ATTEMPTS) throw final
  if (!work.repeatable && (progress.outcomeUnknown || progress.hasOutput)) throw final
  const neverSent = error.code === 'ATTEMPT_FAILED_NOT_RUN'
  if (!neverSent && !progress.serverLost && !opts.budgets.find(work.partner, work.service).take()) throw final
  const waitMs = computeBackoff(progress.attempts, opts.random.readFraction())
  if (opts.clock.readTime() + waitMs >= work.deadline) throw final
  await opts.clock.wait(waitMs, work.signal)
}

/** Creates the request's final error, stating whether it ran as far as all attempts show. */
export function createFinalError (progress: Progress, cause: PulleystackError): PulleystackError {
  if (progress.hasOutput) return new PulleystackError('ANSWER_BROKEN', `The response was interrupted: ${cause.message}`, { cause })
  if (cause.code === 'CALLER_GONE' || cause.code === 'DEADLINE_NOT_RUN' || cause.code === 'DEADLINE_UNKNOWN' || cause.code === 'OVERLOADED' || cause.code === 'NO_RUNNER') {
    return progress.outcomeUnknown && cause.ran === Ran.NO ? createOutcomeUnknownError(cause) : cause
  }
  if (progress.outcomeUnknown) return createOutcomeUnknownError(cause)
  const opts = { cause, retryAfterSeconds: 1 }
  if (cause.code === 'BACKEND_REFUSED') return new PulleystackError('BACKEND_REFUSED', cause.message, { ...opts, ran: Ran.NO })
  return new PulleystackError('ATTEMPT_FAILED_NOT_RUN', cause.message, opts)
}

function createOutcomeUnknownError (cause: PulleystackError): PulleystackError {
  const code = cause.code === 'DEADLINE_NOT_RUN' ? 'DEADLINE_UNKNOWN' : 'ATTEMPT_FAILED_UNKNOWN'
  return new PulleystackError(code, cause.message, { cause })
}

/** Creates a signal that aborts at the deadline or when the caller disconnects; `release` must be called. */
export function createAttemptSignal (clock: Clock, work: DispatchRequest): { signal: AbortSignal, controller: AbortController, release: () => void } {
  const controller = new AbortController()
  const handleAbort = (): void => controller.abort(new PulleystackError('CALLER_GONE', 'The caller disconnected'))
  const expire = (): void => controller.abort(new PulleystackError('DEADLINE_UNKNOWN', 'The deadline passed after the request was sent'))
  const cancel = clock.setTimer(Math.max(0, work.deadline - clock.readTime()), expire)
  if (work.signal.aborted) handleAbort()
  work.signal.addEventListener('abort', handleAbort, { once: true })
  const release = (): void => {
    cancel()
    work.signal.removeEventListener('abort', handleAbort)
  }
  return { signal: controller.signal, controller, release }
}

/** Returns the reason of an aborted attempt, otherwise the error that it failed with. */
export function explainFailure (signal: AbortSignal, thrown: PulleystackError): PulleystackError {
  return signal.aborted && signal.reason instanceof PulleystackError ? signal.reason : thrown
}
