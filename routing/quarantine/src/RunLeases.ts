import type { Clock } from '@pulleystack/core.clock'

/** The owner's response to a lease request. */
export interface LeaseResponse {
  isGranted: boolean
  /** The owner knows of no other run in progress. */
  isOnly: boolean
}

/** Leases for runs of the suspects that this instance owns. */
export class RunLeases {
  /** Monotonic times at which leases expire, by request and lease. */
  private readonly leases = new Map<string, Map<string, number>>()

  constructor (private readonly clock: Clock) {}

  /** Grants a lease unless it must be the only one and another is active. */
  acquire (identity: string, lease: string, { forMs, mustBeOnly }: { forMs: number, mustBeOnly: boolean }): LeaseResponse {
    const now = this.clock.readTime()
    const running = [...this.leases.get(identity) ?? []].filter(([, expiresAt]) => expiresAt > now)
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
