import { PulleystackError } from '@pulleystack/core.errors'
import { ChoiceFailures, type ChoiceFailure } from '@pulleystack/routing.fleet'

/** The refusal of a request for which no server was found; it has not run. */
export function createRefusal (failure: ChoiceFailure, retryAfterSeconds: number): PulleystackError {
  const opts = { retryAfterSeconds }
  if (failure === ChoiceFailures.BACKING_OFF) return new PulleystackError('OVERLOADED', 'All servers that could run the request want rest', opts)
  if (failure === ChoiceFailures.LIMITED) return new PulleystackError('OVERLOADED', 'All servers that could run the request name limits that are reached', opts)
  if (failure === ChoiceFailures.FULL) return new PulleystackError('OVERLOADED', 'All servers that could run the request are full', opts)
  return new PulleystackError('NO_RUNNER', `No server could run the request: ${failure}`, opts)
}

/** Another instance may have a place; this one ends before it could finish the request. */
export function createStopping (): PulleystackError {
  return new PulleystackError('INSTANCE_STOPPING', 'This instance ends before the request would get a place', { retryAfterSeconds: 0 })
}
