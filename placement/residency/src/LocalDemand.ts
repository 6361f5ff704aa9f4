import type { Clock } from '@pulleystack/core.clock'
import { nameWeights } from '@pulleystack/routing.fleet'
import type { DemandReport } from './channels.js'
import type { DemandCount } from './DemandTracker.js'
import type { RequestedWeights } from './ResidencyClient.js'

/** Demand at this instance since its last report to the lease holder. */
export class LocalDemand {
  private readonly counts = new Map<string, DemandCount>()
  private readonly inFlight = new Map<string, { weights: RequestedWeights, count: number }>()
  /** Monotonic time up to which the lease holder has a report. */
  private reportedAt: number

  constructor (private readonly clock: Clock) {
    this.reportedAt = clock.readTime()
  }

  /** Counts a new request. */
  recordRequest (weights: RequestedWeights): void {
    this.findCount(weights).requests++
  }

  /** Counts a request that occupies a slot or waits for one, until the returned function is called. */
  recordInFlight (weights: RequestedWeights): () => void {
    const key = buildKey(weights)
    const entry = this.inFlight.get(key) ?? { weights, count: 0 }
    this.inFlight.set(key, entry)
    entry.count++
    return () => {
      entry.count--
      if (entry.count === 0) this.inFlight.delete(key)
    }
  }

  /** Counts a request that released its slot. */
  recordEnded (weights: RequestedWeights, usage: { heldMs: number, readTokens: number }): void {
    const count = this.findCount(weights)
    count.ended++
    count.heldMs += usage.heldMs
    count.readTokens += usage.readTokens
  }

  /** Builds the next report; undefined when there was no demand. */
  buildReport (): DemandReport | undefined {
    for (const { weights, count } of this.inFlight.values()) this.findCount(weights).inHand = count
    const now = this.clock.readTime()
    if (this.counts.size === 0) {
      this.reportedAt = now
      return undefined
    }
    return { counts: [...this.counts.values()], spanMs: now - this.reportedAt }
  }

  /** Starts a new reporting interval, after the last report was delivered. */
  clear (): void {
    this.reportedAt = this.clock.readTime()
    this.counts.clear()
  }

  private findCount (weights: RequestedWeights): DemandCount {
    const { service, model, adapter } = weights
    const key = buildKey(weights)
    const present = this.counts.get(key)
    if (present) return present
    const created: DemandCount = { service, model, adapter, requests: 0, ended: 0, heldMs: 0, readTokens: 0, inHand: 0 }
    this.counts.set(key, created)
    return created
  }
}

function buildKey ({ service, model, adapter }: RequestedWeights): string {
  return `${service}|${nameWeights(model, adapter)}`
}
