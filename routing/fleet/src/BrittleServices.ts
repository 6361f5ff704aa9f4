/** How long a statement counts as current; servers repeat it in every response. */
const STATEMENT_MS = 1_000
/** How long after a statement no more is sent to a server than it has slots: idle servers repeat nothing, and the first rush would be too much. */
const CARE_MS = 60_000

interface BrittleService {
  /** Requests that a server may reject in a second. */
  tolerance: number
  /** Monotonic times in milliseconds; the first is undefined if only peers were told. */
  toldAt: number | undefined
  careUntil: number
}

/** Services whose servers report that they fall over when they have to reject more than a few requests a second. */
export class BrittleServices {
  private readonly services = new Map<string, BrittleService>()

  /** Records a statement of a server to this instance; returns whether it is new. */
  record (service: string, tolerance: number, now: number): boolean {
    const known = this.services.get(service)
    const isNew = known === undefined || known.tolerance !== tolerance || now >= known.careUntil
    this.services.set(service, { tolerance, toldAt: now, careUntil: now + CARE_MS })
    return isNew
  }

  /** Records a statement to a peer, which is not passed on. */
  recordFromPeer (service: string, tolerance: number, now: number): boolean {
    const known = this.services.get(service)
    this.services.set(service, { tolerance: known?.tolerance ?? tolerance, toldAt: known?.toldAt, careUntil: now + CARE_MS })
    return known === undefined || now >= known.careUntil
  }

  /** Whether no more may be sent to a server of the service than it has slots. */
  hasCare (service: string, now: number): boolean {
    const known = this.services.get(service)
    return known !== undefined && now < known.careUntil
  }

  /** Number of services of which that holds. */
  count (now: number): number {
    return [...this.services.values()].filter(({ careUntil }) => now < careUntil).length
  }

  /** Statements that this instance was told a moment ago. */
  listCurrent (now: number): [service: string, tolerance: number][] {
    const current = [...this.services].filter(([, { toldAt = -Infinity }]) => now - toldAt < STATEMENT_MS)
    return current.map(([service, { tolerance }]) => [service, tolerance])
  }
}
