import type { Reservation } from './Reservation.js'

/**
 * Time in milliseconds for which a report without running requests counts. Then the instance may have sent some that it could not report, and the load
 * that it shares is newer.
 */
export const EMPTY_REPORT_MS = 4_000

/**
 * All requests of one instance at one server. Each message carries the whole list, so that a lost, repeated or reordered message is corrected by
 * the next one.
 */
export interface InstanceReport {
  /** Start of the process run that sends it, as Unix time in milliseconds. */
  run: number
  /** Increases with each report of a process run. */
  sequence: number
  live: readonly Reservation[]
  /** The instance reports to another owner from now on. */
  isLeaving?: boolean
}
