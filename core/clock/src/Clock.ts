/** Cancels a timer. */
export type CancelTimer = () => void

/** Source of time; everything that waits or measures takes one. */
export abstract class Clock {
  /** Milliseconds since 1970. May step; used only for display and for expiries that others must read. */
  abstract readWallTime (): number
  /** Milliseconds from an arbitrary start; never goes back. */
  abstract readTime (): number
  /** Runs `task` once after `ms` milliseconds. */
  abstract setTimer (ms: number, task: () => void): CancelTimer

  /** Resolves after `ms` milliseconds, or at once when the signal is aborted. */
  wait (ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve()
        return
      }
      const finish = (): void => {
        cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const cancel = this.setTimer(ms, finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}

/** The machine's own clock. */
export class SystemClock extends Clock {
  readWallTime (): number {
    return Date.now()
  }

  readTime (): number {
    return performance.now()
  }

  setTimer (ms: number, task: () => void): CancelTimer {
    const timer = setTimeout(task, ms)
    return () => clearTimeout(timer)
  }
}

interface ManualTimer {
  at: number
  task: () => void
}

/** A clock that only moves when told to; for tests and trace replay. */
export class ManualClock extends Clock {
  private now = 0
  private readonly timers = new Set<ManualTimer>()

  readWallTime (): number {
    return this.now
  }

  readTime (): number {
    return this.now
  }

  setTimer (ms: number, task: () => void): CancelTimer {
    const timer: ManualTimer = { at: this.now + Math.max(0, ms), task }
    this.timers.add(timer)
    return () => {
      this.timers.delete(timer)
    }
  }

  /** Moves time forward, running timers in their order and letting promises settle after each. */
  async advance (ms: number): Promise<void> {
    const end = this.now + ms
    await settlePromises()
    for (let next = this.findNext(end); next; next = this.findNext(end)) {
      this.timers.delete(next)
      this.now = Math.max(this.now, next.at)
      next.task()
      await settlePromises()
    }
    this.now = end
  }

  private findNext (end: number): ManualTimer | undefined {
    let first: ManualTimer | undefined
    for (const timer of this.timers) {
      if (timer.at <= end && (!first || timer.at < first.at)) first = timer
    }
    return first
  }
}

async function settlePromises (): Promise<void> {
  for (let i = 0; i < 2; i++) await new Promise((resolve) => setImmediate(resolve))
}
