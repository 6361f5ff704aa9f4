import type { Clock } from '@pulleystack/core.clock'

/** Well below the pause between two events that any client notices. */
const TICK_MS = 40

/** Writes what streams have gathered at common moments, so that many small events cost few writes and wake-ups. */
export class StreamPace {
  private readonly waiting = new Set<() => void>()
  private isTicking = false

  constructor (private readonly clock: Clock) {}

  /** Runs the task at the next common moment. */
  schedule (flush: () => void): void {
    this.waiting.add(flush)
    if (this.isTicking) return
    this.isTicking = true
    this.clock.setTimer(TICK_MS, () => this.tick())
  }

  private tick (): void {
    this.isTicking = false
    const due = [...this.waiting]
    this.waiting.clear()
    for (const flush of due) flush()
  }
}
