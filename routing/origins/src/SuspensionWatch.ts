import type { Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'

const TICK_MS = 500
/** Longer pauses between two ticks are suspensions. */
const MAX_TICK_GAP_MS = 1_500
/** Time for peers to be linked again, and to tell what this instance missed. */
const CATCH_UP_MS = 3_000

/** Notices that this process was suspended, after which its links look open and its entries current though others have gone on without it. */
export class SuspensionWatch {
  private lastTickAt: number
  private catchUpEndsAt = -Infinity

  constructor (private readonly clock: Clock) {
    this.lastTickAt = clock.readTime()
  }

  start (signal: AbortSignal): void {
    keepRunning({ task: 'watch of suspensions', clock: this.clock, signal, run: () => this.keepTicking(signal) })
  }

  /** Whether the process was suspended a moment ago; true at once, also before its timers have run again. */
  get isCatchingUp (): boolean {
    this.recordTick()
    return this.clock.readTime() < this.catchUpEndsAt
  }

  private async keepTicking (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.recordTick()
      await this.clock.wait(TICK_MS, signal)
    }
  }

  private recordTick (): void {
    const now = this.clock.readTime()
    if (now - this.lastTickAt > MAX_TICK_GAP_MS) this.catchUpEndsAt = now + CATCH_UP_MS
    this.lastTickAt = now
  }
}
