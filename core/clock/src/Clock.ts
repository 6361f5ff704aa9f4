/** Cancels a timer. */
export type CancelTimer = () => void

/** Source of time and timers. */
export abstract class Clock {
  /** Milliseconds since the Unix epoch. May jump; use it only for display and for expiry times that other machines read. */
  abstract readWallTime (): number
  /** Monotonic time in milliseconds from an arbitrary start. */
  abstract readTime (): number
  /** Runs `task` once after `ms` milliseconds. */
  abstract setTimer (ms: number, task: () => void): CancelTimer

  /** Resolves after `ms` milliseconds, or as soon as the signal is aborted. */
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

/** The clock of the machine. */
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
  dueAt: number
  task: () => void
}

/** A clock that moves only through `advance`, for tests and trace replay. */
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
    const timer: ManualTimer = { dueAt: this.now + Math.max(0, ms), task }
    this.timers.add(timer)
    return () => {
      this.timers.delete(timer)
    }
  }

  /** Advances time by `ms` milliseconds. Runs due timers in order and lets promises settle after each one. */
  async advance (ms: number): Promise<void> {
    const end = this.now + ms
    await settlePromises()
    for (let next = this.findNextTimer(end); next; next = this.findNextTimer(end)) {
      this.timers.delete(next)
      this.now = Math.max(this.now, next.dueAt)
      next.task()
      await settlePromises()
    }
    this.now = end
  }

  private findNextTimer (end: number): ManualTimer | undefined {
    let earliest: ManualTimer | undefined
    for (const timer of this.timers) {
      if (timer.dueAt <= end && (!earliest || timer.dueAt < earliest.dueAt)) earliest = timer
    }
    return earliest
  }
}

async function settlePromises (): Promise<void> {
  for (let i = 0; i < 2; i++) await new Promise((resolve) => setImmediate(resolve))
}
