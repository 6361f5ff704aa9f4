import { computePercentile, roundToTenths } from './computePercentile.js'
import { WaitOutcomes, type WaitFigures, type WaitOutcome } from './LoadSummary.js'
import type { BegunWait } from './RequestTracker.js'
import { TallyMap } from './TallyMap.js'

/** Collects waits for a slot by reason and outcome. */
export class WaitTally {
  private readonly byReason = new TallyMap(() => new TallyMap((): number[] => []))

  /** `endedAt` is in milliseconds on the clock of the wait's start. */
  add (wait: BegunWait, outcome: WaitOutcome, endedAt: number): void {
    this.byReason.get(wait.reason).get(outcome).push(endedAt - wait.at)
  }

  /** Lists the figures with the `open` waits, which have not ended. */
  list (open: readonly BegunWait[]): WaitFigures[] {
    const openCounts = new TallyMap(() => ({ count: 0 }))
    for (const { reason } of open) openCounts.get(reason).count++
    const ended = this.byReason.list().flatMap(([reason, outcomes]) => outcomes.list().map(([outcome, durations]): WaitFigures => {
      const computeMs = (share: number): number => roundToTenths(computePercentile(durations, share) ?? 0)
      return { reason, outcome: outcome as WaitOutcome, count: durations.length, ms50: computeMs(0.5), ms90: computeMs(0.9), ms99: computeMs(0.99) }
    }))
    const rows = [...ended, ...openCounts.list().map(([reason, { count }]): WaitFigures => ({ reason, outcome: WaitOutcomes.OPEN, count }))]
    return rows.sort((a, b) => b.count - a.count)
  }
}
