import type { Clock } from '@pulleystack/core.clock'

/** Two samples a second show an event loop that is held up for long, at next to no processor time. */
const SAMPLE_INTERVAL_MS = 500
/** Figures are fetched every 5 s, so that each sample is seen in one of them. */
const MAX_SAMPLES = 10

/** Measures how late the event loop runs its timers. */
export class TimerDelay {
  private samples: number[] = []

  constructor (private readonly clock: Clock) {}

  /** The longest delay, in milliseconds, in the last `KEPT_SAMPLES` samples. */
  get longestMs (): number {
    return Math.max(0, ...this.samples)
  }

  /** Samples until the signal ends. */
  start (signal: AbortSignal): void {
    void this.run(signal)
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const dueAt = this.clock.readTime() + SAMPLE_INTERVAL_MS
      await this.clock.wait(SAMPLE_INTERVAL_MS, signal)
      this.samples = [...this.samples, this.clock.readTime() - dueAt].slice(-MAX_SAMPLES)
    }
  }
}
