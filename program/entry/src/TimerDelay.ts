import type { Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'

const SAMPLE_INTERVAL_MS = 500
/** Samples of 5 s, the scrape interval of the metrics. */
const MAX_SAMPLES = 10

/** Measures the delay with which the event loop runs timers. */
export class TimerDelay {
  private samples: number[] = []

  constructor (private readonly clock: Clock) {}

  /** Longest delay in the last `MAX_SAMPLES` samples, in milliseconds. */
  get longestMs (): number {
    return Math.max(0, ...this.samples)
  }

  /** Takes samples until the signal is aborted. */
  start (signal: AbortSignal): void {
    keepRunning({ task: 'timer delay', clock: this.clock, signal, run: () => this.run(signal) })
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const dueAt = this.clock.readTime() + SAMPLE_INTERVAL_MS
      await this.clock.wait(SAMPLE_INTERVAL_MS, signal)
      this.samples = [...this.samples, this.clock.readTime() - dueAt].slice(-MAX_SAMPLES)
    }
  }
}
