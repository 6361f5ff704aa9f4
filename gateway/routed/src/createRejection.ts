import { PulleystackError } from '@pulleystack/core.errors'
import { ChoiceFailures, type ChoiceFailure } from '@pulleystack/routing.fleet'

/** Creates the error for a request that was rejected, without having run, because no server could be chosen. */
export function createRejection (failure: ChoiceFailure, retryAfterSeconds: number, requiredVersion?: string): PulleystackError {
  const opts = { retryAfterSeconds }
  if (failure === ChoiceFailures.BACKING_OFF) return new PulleystackError('OVERLOADED', 'All eligible servers have requested a pause', opts)
  if (failure === ChoiceFailures.LIMITED) return new PulleystackError('OVERLOADED', 'All eligible servers have reached their rate limits', opts)
  if (failure === ChoiceFailures.FULL) return new PulleystackError('OVERLOADED', 'All eligible servers are at capacity', opts)
  if (failure === ChoiceFailures.PATH_LOST) return new PulleystackError('PATH_LOST', 'This instance cannot reach the eligible servers', opts)
  if (failure === ChoiceFailures.VERSION_GONE) {
    return new PulleystackError('NO_RUNNER', `No server of software version ${JSON.stringify(requiredVersion)} is left to continue the stream`, opts)
  }
  return new PulleystackError('NO_RUNNER', `No eligible server: ${failure}`, opts)
}

/** Creates the error for a request that cannot wait here because the instance is shutting down; another one may serve it. */
export function createStoppingError (): PulleystackError {
  return new PulleystackError('INSTANCE_STOPPING', 'This instance is shutting down and cannot queue the request', { retryAfterSeconds: 0 })
}
