import type { Clock } from '@pulleystack/core.clock'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

/** A writer that writes unreadable entries writes them several times a second; so often a line tells of them. */
const LOG_INTERVAL_MS = 5_000

/** An object of the store that says of no backend server what has to be known of it. */
export interface UnreadableEntry {
  key: string
  revision: number
}

/** Logs that objects were passed over, in few lines however many there are. */
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
