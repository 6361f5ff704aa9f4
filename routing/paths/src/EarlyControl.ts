import type { Clock } from '@pulleystack/core.clock'

/** Servers and instances that are reached answer within a few milliseconds. */
export const PROMPT_ANSWER_MS = 20

/** A control probe that begins once an answer is late, as it will likely be needed, rather than only when there is none. */
export class EarlyControl {
  private outcome: Promise<boolean> | undefined
  private readonly cancel: () => void

  constructor (clock: Clock, private readonly probe: () => Promise<boolean>) {
    this.cancel = clock.setTimer(PROMPT_ANSWER_MS, () => void this.read())
  }

  /** Whether another server is reached. */
  read (): Promise<boolean> {
    this.cancel()
    return this.outcome ??= this.probe()
  }

  /** Makes no probe unless it has begun. */
  discard (): void {
    this.cancel()
  }
}
