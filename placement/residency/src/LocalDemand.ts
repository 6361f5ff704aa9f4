import type { Clock } from '@pulleystack/core.clock'
import { nameWeights } from '@pulleystack/routing.fleet'
import type { DemandReport } from './channels.js'
import type { DemandCount } from './DemandTracker.js'
import type { AskedWeights } from './ResidencyClient.js'

/** What requests asked for at this instance since it last told the lease holder. */
export class LocalDemand {
  private readonly counts = new Map<string, DemandCount>()
  private readonly inHand = new Map<string, { asked: AskedWeights, count: number }>()
  /** Monotone time up to which the holder was told. */
  private toldAt: number

  constructor (private readonly clock: Clock) {
    this.toldAt = clock.readTime()
  }

  /** Counts one new request. */
  noteDemand (asked: AskedWeights): void {
    this.findCount(asked).requests++
  }

  /** Counts a request that has a place at a server or waits for one, until the function that it gives is called. */
  noteInHand (asked: AskedWeights): () => void {
    const key = nameAsked(asked)
    const held = this.inHand.get(key) ?? { asked, count: 0 }
    this.inHand.set(key, held)
    held.count++
    return () => {
      held.count--
      if (held.count === 0) this.inHand.delete(key)
    }
  }

  /** Counts a request that left its place at a server. */
  noteEnded (asked: AskedWeights, took: { heldMs: number, readTokens: number }): void {
    const count = this.findCount(asked)
    count.ended++
    count.heldMs += took.heldMs
    count.readTokens += took.readTokens
  }

  /** What is to be told now; undefined when nothing was asked for. */
  buildReport (): DemandReport | undefined {
    for (const { asked, count } of this.inHand.values()) this.findCount(asked).inHand = count
    const now = this.clock.readTime()
    if (this.counts.size === 0) {
      this.toldAt = now
      return undefined
    }
    return { counts: [...this.counts.values()], spanMs: now - this.toldAt }
  }

  /** The last report has reached the holder, so that the next one begins behind it. */
  clear (): void {
    this.toldAt = this.clock.readTime()
    this.counts.clear()
  }

  private findCount (asked: AskedWeights): DemandCount {
    const { service, model, adapter } = asked
    const key = nameAsked(asked)
    const present = this.counts.get(key)
    if (present) return present
    const created: DemandCount = { service, model, adapter, requests: 0, ended: 0, heldMs: 0, readTokens: 0, inHand: 0 }
    this.counts.set(key, created)
    return created
  }
}

function nameAsked ({ service, model, adapter }: AskedWeights): string {
  return `${service}|${nameWeights(model, adapter)}`
}
