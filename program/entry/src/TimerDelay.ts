import type { Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'

const SAMPLE_INTERVAL_MS = 500
/** Samples of 5 s, the scrape interval of the metrics. */
const MAX_SAMPLES = 10
const MIN_REPORTED_MS = 200

/** Measures the delay with which the event loop runs timers; calls `onLongDelay` with each delay of 200 ms or more. */
export class TimerDelay {
  private samples: number[] = []

  constructor (private readonly clock: Clock, private readonly onLongDelay: (ms: number) => void = () => undefined) {}

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
      const delayMs = this.clock.readTime() - dueAt
      this.samples = [...this.samples, delayMs].slice(-MAX_SAMPLES)
      if (delayMs >= MIN_REPORTED_MS) this.onLongDelay(delayMs)
    }
  }
}
