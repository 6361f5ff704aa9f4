import type { Denial } from './Denial.js'
import { computeReleaseIntervalMs, type LedgerState } from './LedgerState.js'
import type { Reservation } from './Reservation.js'
import { DenialReasons } from './ReservationRequest.js'

/** Time constant of the arrival rates, in milliseconds. */
const TIME_CONSTANT_MS = 2_000
/** Capacity is released when no urgent request arrived for this time. */
const SILENCE_MS = 2_000
/** Less urgent requests may always use the rest, so that they progress. */
const MAX_RESERVED_SHARE = 0.25

interface Arrivals {
  /** Number of arrivals, each fading with the time constant. */
  weight: number
  lastAt: number
}

/** Reserves slots of one server for the requests of more urgent classes that are expected to arrive. */
export class UrgentReserve {
  private readonly arrivals = new Map<number, Arrivals>()

  /** Records a request of a class at a monotonic time in milliseconds. */
  recordArrival (priority: number, now: number): void {
    this.arrivals.set(priority, { weight: this.readWeight(priority, now) + 1, lastAt: now })
  }

  /** Slots that a request of this class must leave free: the more urgent requests expected while it runs, at most a quarter of the batch. */
  countReserved (priority: number, { holdMs, capacity, now }: Pick<LedgerState, 'holdMs' | 'capacity' | 'now'>): number {
    let expected = 0
    for (const [other, { lastAt }] of this.arrivals) {
      if (other < priority && now - lastAt < SILENCE_MS) expected += this.readWeight(other, now) / TIME_CONSTANT_MS * holdMs
    }
    return Math.min(Math.ceil(expected), Math.floor(capacity.batchSlots * MAX_RESERVED_SHARE))
  }

  /** Rejects a request that can wait if it would take a slot reserved for more urgent ones. One that can't wait would be late as they would be. */
  judge (state: LedgerState, { priority, isDeferrable }: Reservation): Denial | undefined {
    if (!isDeferrable) return undefined
    const missing = state.load.running + 1 + this.countReserved(priority, state) - state.capacity.batchSlots
    if (missing <= 0) return undefined
    return { reason: DenialReasons.RESERVED, retryAfterMs: missing * computeReleaseIntervalMs(state) }
  }

  private readWeight (priority: number, now: number): number {
    const known = this.arrivals.get(priority)
    return known ? known.weight * Math.exp((known.lastAt - now) / TIME_CONSTANT_MS) : 0
  }
}
