import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { computeBackoff } from '@pulleystack/routing.retries'
import type { DispatchOptions, RequestWork } from './DispatchOptions.js'

const MAX_ATTEMPTS = 4

/** What has become of a request over its attempts. */
export interface Progress {
  attempts: number
  /** An attempt was sent whose outcome is not known. */
  uncertain: boolean
  /** Part of the answer has come. */
  answering: boolean
  /** The newest attempt's server is out of use, and another can take the work. */
  serverLost: boolean
  excluded: Set<string>
}

export function createProgress (): Progress {
  return { attempts: 0, uncertain: false, answering: false, serverLost: false, excluded: new Set() }
}

/** Notes a failed attempt; from then on the request may no longer be reported as not run, unless the failure is certain. */
export function noteFailure (progress: Progress, error: PulleystackError, server: string, serverLost = false): void {
  progress.excluded.add(server)
  progress.serverLost = serverLost
  if (error.ran !== Ran.NO) progress.uncertain = true
}

/**
 * Waits before another attempt, or throws the request's final error. Work that may not be repeated only gets another
 * attempt when it is certain that nothing ran. Servers that could not even be reached have seen no traffic, and what a
 * lost server had in hand is done by nobody else, so that neither multiplies the traffic and neither costs budget.
 */
export async function allowRetry (opts: DispatchOptions, work: RequestWork, progress: Progress, error: PulleystackError): Promise<void> {
  const final = createFinalError(progress, error)
  if (work.signal.aborted || progress.attempts >= MAX_ATTEMPTS) throw final
  if (!work.repeatable && (progress.uncertain || progress.answering)) throw final
  const unseen = error.code === 'ATTEMPT_FAILED_NOT_RUN'
  if (!unseen && !progress.serverLost && !opts.budgets.find(work.partner, work.service).take()) throw final
  const waitMs = computeBackoff(progress.attempts, opts.random.readFraction())
  if (opts.clock.readTime() + waitMs >= work.deadline) throw final
  await opts.clock.wait(waitMs, work.signal)
}

/** The error that says no more and no less than is known. */
export function createFinalError (progress: Progress, cause: PulleystackError): PulleystackError {
  if (progress.answering) return new PulleystackError('ANSWER_BROKEN', `The answer broke off: ${cause.message}`, { cause })
  if (cause.code === 'CALLER_GONE' || cause.code === 'DEADLINE_NOT_RUN' || cause.code === 'DEADLINE_UNKNOWN' || cause.code === 'OVERLOADED' || cause.code === 'NO_RUNNER') {
    return progress.uncertain && cause.ran === Ran.NO ? createUncertain(cause) : cause
  }
  if (progress.uncertain) return createUncertain(cause)
  const opts = { cause, retryAfterSeconds: 1 }
  if (cause.code === 'BACKEND_REFUSED') return new PulleystackError('BACKEND_REFUSED', cause.message, { ...opts, ran: Ran.NO })
  return new PulleystackError('ATTEMPT_FAILED_NOT_RUN', cause.message, opts)
}

function createUncertain (cause: PulleystackError): PulleystackError {
  const code = cause.code === 'DEADLINE_NOT_RUN' ? 'DEADLINE_UNKNOWN' : 'ATTEMPT_FAILED_UNKNOWN'
  return new PulleystackError(code, cause.message, { cause })
}

/** Aborts at the deadline or with the caller; `release` must be called. */
export function createAttemptSignal (clock: Clock, work: RequestWork): { signal: AbortSignal, abort: AbortController, release: () => void } {
  const abort = new AbortController()
  const leave = (): void => abort.abort(new PulleystackError('CALLER_GONE', 'The caller went away'))
  const expire = (): void => abort.abort(new PulleystackError('DEADLINE_UNKNOWN', 'The deadline passed after the work was sent'))
  const cancel = clock.setTimer(Math.max(0, work.deadline - clock.readTime()), expire)
  if (work.signal.aborted) leave()
  work.signal.addEventListener('abort', leave, { once: true })
  const release = (): void => {
    cancel()
    work.signal.removeEventListener('abort', leave)
  }
  return { signal: abort.signal, abort, release }
}

/** The reason an attempt was aborted, or what went wrong by itself. */
export function explainFailure (signal: AbortSignal, thrown: PulleystackError): PulleystackError {
  return signal.aborted && signal.reason instanceof PulleystackError ? signal.reason : thrown
}
