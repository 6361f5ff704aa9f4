import type { WeightsState } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import type { ServerOrders } from './ServerOrders.js'

const POLL_MS = 250
/** Time after the last sending in which an order that arrived shows in the server's report. */
const START_GRACE_MS = 1_000
/** Tolerance beyond the expected duration of an order that the server is carrying out. */
const SETTLE_GRACE_MS = 3_000
/** Time for the report of a completed order to arrive. */
const REPORT_GRACE_MS = 500

/** What became of an order that no answer confirmed. */
export const UncertainOutcomes = {
  /** The server's state is as ordered. */
  REACHED: 'reached',
  /** The server carried it out without success, or didn't end in time. */
  FAILED: 'failed',
  /** The server has not accepted it so far, as far as its state can be read, but still may. */
  PENDING: 'pending',
} as const
export type UncertainOutcome = typeof UncertainOutcomes[keyof typeof UncertainOutcomes]

export interface UncertainOrder {
  clock: Clock
  orders: Pick<ServerOrders, 'readSettled' | 'isClosed'>
  /** Sequence number at which the server accepts the order; once it has passed, the order is done or void. */
  sequence: number
  isReached: (state: WeightsState) => boolean
  /** Expected milliseconds from acceptance to the ordered state. */
  durationMs: number
  /** Called when the server turns out to have accepted the order, possibly later than it was sent. */
  onStarted: () => void
}

/**
 * Watches a server after an order that it may not have accepted. Ends after a second if the server is idle and its sequence number unchanged,
 * after the expected duration if its state can't be read, and at once when the orders are closed.
 */
export async function settleUncertainOrder (it: UncertainOrder): Promise<UncertainOutcome> {
  const { clock } = it
  const sentAt = clock.readTime()
  let until = sentAt + it.durationMs + REPORT_GRACE_MS
  let hasStarted = false
  while (clock.readTime() < until && !it.orders.isClosed) {
    const state = await it.orders.readSettled()
    if (state && !state.busy && it.isReached(state)) return UncertainOutcomes.REACHED
    if (state && state.sequence !== it.sequence) {
      if (!state.busy) return UncertainOutcomes.FAILED
      if (!hasStarted) it.onStarted()
      if (!hasStarted) until = clock.readTime() + it.durationMs + SETTLE_GRACE_MS
      hasStarted = true
    } else if (state && clock.readTime() - sentAt >= START_GRACE_MS) {
      return UncertainOutcomes.PENDING
    }
    await clock.wait(POLL_MS)
  }
  return hasStarted ? UncertainOutcomes.FAILED : UncertainOutcomes.PENDING
}
