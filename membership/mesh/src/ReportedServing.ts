import type { Clock } from '@pulleystack/core.clock'
import type { PeerIdentity } from '@pulleystack/membership.peers'

/** The serving instances according to another instance. */
interface ReportedList {
  serving: readonly PeerIdentity[]
  /** Monotonic time in ms. */
  receivedAt: number
}

/**
 * Lists of serving instances reported by other instances. A list is valid while its reporter is linked and would send changes; the self-reported
 * status of a linked peer takes precedence over it.
 */
export class ReportedServing {
  private readonly lists = new Map<string, ReportedList>()

  constructor (private readonly clock: Clock) {}

  record (reporter: string, serving: readonly PeerIdentity[]): void {
    this.lists.set(reporter, { serving, receivedAt: this.clock.readTime() })
  }

  /** Removes the list of an instance whose link closed, as it will not be updated. */
  forget (reporter: string): void {
    this.lists.delete(reporter)
  }

  hasList (reporter: string): boolean {
    return this.lists.has(reporter)
  }

  /** Age of the oldest list in milliseconds; undefined when there is none. */
  get oldestMs (): number | undefined {
    const receiptTimes = [...this.lists.values()].map((list) => list.receivedAt)
    return receiptTimes.length > 0 ? Math.round(this.clock.readTime() - Math.min(...receiptTimes)) : undefined
  }

  /** Merges the lists of serving reporters without duplicates, leaving out entries that the linked peers contradict. */
  list (linked: ReadonlyMap<string, PeerIdentity>): PeerIdentity[] {
    const reportedServing = new Map<string, PeerIdentity>()
    for (const [reporter, { serving }] of this.lists) {
      // A leaving peer no longer sends changes.
      const identity = linked.get(reporter)
      if (!identity || !isServing(identity)) continue
      for (const reported of serving) if (!isContradicted(reported, linked.get(reported.instance))) reportedServing.set(reported.instance, reported)
    }
    return [...reportedServing.values()]
  }
}

/** Whether an instance serves clients and is not about to stop. */
export function isServing (identity: PeerIdentity): boolean {
  return !identity.leaving && !identity.standby
}

/** Whether a linked peer itself reports, in the same incarnation, that it does not serve. Incarnations derive from the wall clock and have no order. */
function isContradicted (reported: PeerIdentity, linkedIdentity: PeerIdentity | undefined): boolean {
  return linkedIdentity !== undefined && !isServing(linkedIdentity) && linkedIdentity.incarnation === reported.incarnation
}
