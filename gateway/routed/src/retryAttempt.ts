import { RepeatModes } from '@pulleystack/config.routes'
import type { PulleystackError } from '@pulleystack/core.errors'
import type { WindowBudget } from '@pulleystack/routing.retries'
import { DecisionKinds, type DecisionLog, type RetryVerdict } from '@pulleystack/timeline.decisions'
import type { BackendQueue } from './BackendQueue.js'
import type { RoutedWork } from './RoutedWork.js'
import type { RunProgress } from './RunProgress.js'

/** Limit of sends per request, including those rejected by servers. */
const MAX_SENDS = 4

export interface RetryOptions {
  log: DecisionLog
  queue: BackendQueue
  findBudget: (service: string) => WindowBudget
}

/** Whether a further attempt may be sent beside one whose server is silent; leaves one for when the further one is rejected late. */
export function mayAddAttempt (work: RoutedWork, progress: RunProgress, silent: { hasCountedRun: boolean }): boolean {
  if (progress.sends >= MAX_SENDS - 1 || progress.runs + countOpenRuns(silent) >= work.route.maxAttempts) return false
  return progress.stream.events === 0 || mayResume(work, progress)
}

/** The number of runs by which a silent attempt will count among those that may have run. */
export function countOpenRuns (silent: { hasCountedRun: boolean }): number {
  return silent.hasCountedRun ? 0 : 1
}

/** Whether another attempt may be made; reserves its retry permit. */
export function mayRetry (opts: RetryOptions, work: RoutedWork, progress: RunProgress, error: PulleystackError): boolean {
  if (work.signal.aborted || progress.sends >= MAX_SENDS) return false
  if (progress.runs > 0 && !mayRepeat(work)) return false
  if (progress.runs >= work.route.maxAttempts) return false
  if (progress.stream.events > 0 && !mayResume(work, progress)) return false
  if (!reserveRetry(opts, work, progress, error)) return false
  if (progress.stream.events > 0) opts.log.record(DecisionKinds.STREAM_RESUMED, { request: work.requestId, after: progress.stream.lastEventId })
  return true
}

/** Whether another server can go on after the newest event that the client has, at the version that began the stream. */
function mayResume (work: RoutedWork, { stream }: RunProgress): boolean {
  return work.origin !== undefined && stream.newestHasId
}

/** Reserves a retry permit; false if the budget is exhausted. */
function reserveRetry (opts: RetryOptions, work: RoutedWork, progress: RunProgress, error: PulleystackError): boolean {
  const { name: service } = work.service
  const budget = opts.findBudget(service)
  const facts = budget.describe()
  // A failed connection put no load on the server, so it uses no budget.
  const isFree = error.code === 'ATTEMPT_FAILED_NOT_RUN' || error.code === 'PATH_LOST'
  if (isFree) dropRetryPermit(progress)
  else progress.retryPermit ??= budget.reserve()
  const verdict: RetryVerdict = isFree ? 'free' : progress.retryPermit ? 'paid' : 'denied'
  opts.log.record(DecisionKinds.RETRY_JUDGED, { request: work.requestId, service, verdict, ...facts })
  return verdict !== 'denied'
}

/** Gives back the retry permit that was reserved, if any. */
export function dropRetryPermit (progress: RunProgress): void {
  progress.retryPermit?.release()
  progress.retryPermit = undefined
}

/** Uses the reserved retry permit, if any; false if the budget no longer covers it. */
export function takeRetryPermit (progress: RunProgress): boolean {
  const { retryPermit } = progress
  progress.retryPermit = undefined
  return retryPermit?.take() ?? true
}

export function mayRepeat (work: RoutedWork): boolean {
  return work.route.repeat === RepeatModes.REPEATABLE
}
