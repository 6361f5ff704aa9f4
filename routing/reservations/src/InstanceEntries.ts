import type { Denial } from './Denial.js'
import { EMPTY_REPORT_MS, type InstanceReport } from './InstanceReport.js'
import type { Reservation } from './Reservation.js'

/** Whether the ledger has decided on a reservation. */
export const EntryStates = { UNDECIDED: 'undecided', GRANTED: 'granted', DENIED: 'denied' } as const
export type EntryState = typeof EntryStates[keyof typeof EntryStates]

export interface LedgerEntry {
  reservation: Reservation
  state: EntryState
  /** Why it was denied; a repeated message gets the same answer. */
  denial?: Denial
  /** Monotonic time of the grant in milliseconds; undefined if the request was already running when it became known. */
  grantedAt?: number
}

/** Sequence numbers are kept for this time, after which no message of before can arrive. */
const KEEP_MS = 60_000

/** The reservations of one instance in the ledger of one server. */
export class InstanceEntries {
  entries = new Map<string, LedgerEntry>()
  /** Entries dropped since the last report. The next report may have been sent before the answer, and list a granted one as pending. */
  private readonly dropped = new Map<string, LedgerEntry>()
  /** Monotonic time of the last report in milliseconds; undefined if the instance does not report to this ledger. */
  private reportedAt: number | undefined
  private appliedAt = -Infinity
  private run = -Infinity
  private sequence = -Infinity

  /** Whether the entries are all requests of the instance; otherwise the load that it shares with all instances counts. */
  isComplete (now: number): boolean {
    if (this.reportedAt === undefined) return false
    const hasRunning = [...this.entries.values()].some(({ state }) => state === EntryStates.GRANTED)
    return hasRunning || now - this.reportedAt < EMPTY_REPORT_MS
  }

  isReportedUntil (until: number): boolean {
    return this.reportedAt !== undefined && this.reportedAt <= until
  }

  /** Replaces the entries unless the report is outdated; returns the granted entries that ended. `mayAdd` bounds those that run. */
  apply ({ run, sequence, live, isLeaving = false }: InstanceReport, now: number, mayAdd: () => boolean): LedgerEntry[] {
    if (run < this.run || (run === this.run && sequence <= this.sequence)) return []
    this.appliedAt = now
    this.run = run
    this.sequence = sequence
    this.reportedAt = isLeaving ? undefined : now
    const previous = this.entries
    this.entries = new Map()
    for (const reservation of live) {
      const known = previous.get(reservation.id) ?? this.dropped.get(reservation.id)
      const isNew = known?.state !== EntryStates.GRANTED && !reservation.isPending
      if (!isNew || mayAdd()) this.entries.set(reservation.id, updateEntry(known, reservation))
    }
    this.dropped.clear()
    return [...previous.values()].filter((it) => it.state === EntryStates.GRANTED && !this.entries.has(it.reservation.id))
  }

  /** Whether nothing needs to be kept of the instance. */
  isOutdated (now: number): boolean {
    return this.entries.size === 0 && now - this.appliedAt > KEEP_MS
  }

  /** Removes all entries, after which the load that the instance shares counts; an outdated report still has no effect. */
  clear (): void {
    for (const [id, entry] of this.entries) this.dropped.set(id, entry)
    this.entries.clear()
    this.reportedAt = undefined
  }

  /** Removes the entries whose deadline has passed. */
  expire (now: number): void {
    for (const entries of [this.entries, this.dropped]) {
      for (const [id, { reservation }] of entries) if (reservation.expiresAt <= now) entries.delete(id)
    }
  }
}

/** A request that runs occupies the server, also when the ledger denied it or never decided. */
function updateEntry (previous: LedgerEntry | undefined, reservation: Reservation): LedgerEntry {
  const entry = previous ?? { reservation, state: EntryStates.UNDECIDED }
  entry.reservation = reservation
  if (!reservation.isPending) entry.state = EntryStates.GRANTED
  return entry
}
