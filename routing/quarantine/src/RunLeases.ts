import type { Clock } from '@pulleystack/core.clock'

/** The owner's response to a lease request. */
export interface LeaseResponse {
  isGranted: boolean
  /** Whether the run is, or would have to be, the only one. */
  isExclusive: boolean
}

interface RunLease {
  lease: string
  /** Monotonic time in milliseconds. */
  expiresAt: number
}

/** Leases for exclusive runs of the suspected traits that this instance owns. */
export class RunLeases {
  /** At most one for each trait. */
  private readonly leases = new Map<string, RunLease>()

  constructor (private readonly clock: Clock) {}

  /** Returns whether the lease was granted, which it isn't while another one of the trait is active. */
  acquire (trait: string, lease: string, forMs: number): boolean {
    const now = this.clock.readTime()
    this.dropExpired(now)
    if (this.leases.has(trait)) return false
    this.leases.set(trait, { lease, expiresAt: now + forMs })
    return true
  }

  release (trait: string, lease: string): void {
    if (this.leases.get(trait)?.lease === lease) this.leases.delete(trait)
  }

  private dropExpired (now: number): void {
    for (const [trait, { expiresAt }] of this.leases) if (expiresAt <= now) this.leases.delete(trait)
  }
}
