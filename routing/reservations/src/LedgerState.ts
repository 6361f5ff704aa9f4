import type { LoadTally } from '@pulleystack/routing.fleet'
import type { PaceEstimate } from '@pulleystack/routing.pace'
import type { Reservation } from './Reservation.js'

/** Capacity of one model server. */
export interface ServerCapacity {
  batchSlots: number
  cacheTokens: number
}

/** What the rules of a ledger see of its server when they judge a request. */
export interface LedgerState {
  capacity: ServerCapacity
  /** Requests at the server, without the one to be judged. */
  running: readonly Reservation[]
  /** Load of `running` and of the instances that have not reported their requests to this ledger. */
  load: LoadTally
  pace: PaceEstimate
  /** Mean time that a request stays at the server, in milliseconds. */
  holdMs: number
  /** Monotonic time in milliseconds. */
  now: number
}

/** Mean time between two releases at the server, in milliseconds. */
export function computeReleaseIntervalMs ({ holdMs, load }: LedgerState): number {
  return holdMs / Math.max(1, load.running)
}
