import type { Clock } from '@pulleystack/core.clock'

/** Short enough not to be noticeable between two events. */
const FLUSH_INTERVAL_MS = 40

/** Flushes the buffered events of all streams together, to reduce writes and timer wake-ups. */
export class StreamFlusher {
  private readonly pendingFlushes = new Set<() => void>()
  private isScheduled = false

  constructor (private readonly clock: Clock) {}

  /** Calls `flush` once at the next common flush. */
  schedule (flush: () => void): void {
    this.pendingFlushes.add(flush)
    if (this.isScheduled) return
    this.isScheduled = true
    this.clock.setTimer(FLUSH_INTERVAL_MS, () => this.runFlushes())
  }

  private runFlushes (): void {
    this.isScheduled = false
    const due = [...this.pendingFlushes]
    this.pendingFlushes.clear()
    for (const flush of due) flush()
  }
}
