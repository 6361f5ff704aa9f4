import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

/** Returns a handler that logs the errors of the listener at an address. */
export function recordListenerErrors (log: DecisionLog, address: string): (error: NodeJS.ErrnoException) => void {
  return ({ code, message }) => log.record(DecisionKinds.LISTENER_FAILED, { address, code, reason: message })
}
