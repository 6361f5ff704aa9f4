import type { Clock } from '@pulleystack/core.clock'

/** What the owner of a request answers to an instance that wants to run it. */
export interface LeaseAnswer {
  isGranted: boolean
  /** No other run of the request is known to be under way. */
  isOnly: boolean
}

/** The runs of suspects that are under way, as the instance knows them that keeps count for all. */
export class RunLeases {
  /** Monotone times at which runs have surely ended, by request and lease. */
  private readonly leases = new Map<string, Map<string, number>>()

  constructor (private readonly clock: Clock) {}

  /** Enters a run, unless it has to be the only one and isn't. */
  acquire (identity: string, lease: string, { forMs, mustBeOnly }: { forMs: number, mustBeOnly: boolean }): LeaseAnswer {
    const now = this.clock.readTime()
    const running = [...this.leases.get(identity) ?? []].filter(([, until]) => until > now)
    const isOnly = running.length === 0
    const isGranted = isOnly || !mustBeOnly
    if (isGranted) this.leases.set(identity, new Map([...running, [lease, now + forMs]]))
    return { isGranted, isOnly }
  }

  release (identity: string, lease: string): void {
    const running = this.leases.get(identity)
    running?.delete(lease)
    if (running?.size === 0) this.leases.delete(identity)
  }
}
