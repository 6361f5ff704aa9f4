import type { Clock } from '@pulleystack/core.clock'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

const LOG_INTERVAL_MS = 5_000

/** A stored object that is not a valid backend server entry. */
export interface UnreadableEntry {
  key: string
  revision: number
}

/** Logs ignored backend server entries, at most one line per `LOG_INTERVAL_MS`. */
export class UnreadableEntries {
  private unloggedCount = 0
  private loggedAt = -Infinity

  constructor (private readonly clock: Clock, private readonly log: DecisionLog) {}

  note ({ key, revision }: UnreadableEntry): void {
    this.unloggedCount++
    const now = this.clock.readTime()
    if (now - this.loggedAt < LOG_INTERVAL_MS) return
    this.loggedAt = now
    this.log.record(DecisionKinds.ENTRY_UNREADABLE, { key, revision, count: this.unloggedCount })
    this.unloggedCount = 0
  }
}
