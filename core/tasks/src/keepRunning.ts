import type { Clock } from '@pulleystack/core.clock'
import { reportTaskFailure } from './taskFailures.js'

const MIN_RESTART_DELAY_MS = 100
const MAX_RESTART_DELAY_MS = 5_000

export interface BackgroundTask {
  /** Name in the log. */
  task: string
  clock: Clock
  /** Ends the task; it is not started again. */
  signal: AbortSignal
  run: () => Promise<void>
}

/**
 * Runs a task in the background until it returns or its signal aborts. When it throws, the error is reported and the task starts again after a delay that
 * doubles with each failure; a task that ran for longer than the longest delay starts over with the shortest one.
 */
export function keepRunning (opts: BackgroundTask): void {
  void runRepeatedly(opts)
}

async function runRepeatedly ({ task, clock, signal, run }: BackgroundTask): Promise<void> {
  let delayMs = MIN_RESTART_DELAY_MS
  for (;;) {
    const startedAt = clock.readTime()
    try {
      await run()
      return
    } catch (error) {
      reportTaskFailure({ task, error })
    }
    if (clock.readTime() - startedAt > MAX_RESTART_DELAY_MS) delayMs = MIN_RESTART_DELAY_MS
    await clock.wait(delayMs, signal)
    if (signal.aborted) return
    delayMs = Math.min(MAX_RESTART_DELAY_MS, 2 * delayMs)
  }
}
