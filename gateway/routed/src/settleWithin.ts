import type { Clock } from '@pulleystack/core.clock'

/** Resolves with the value of the promise, or with undefined if that takes longer; the promise itself goes on. */
export async function settleWithin<T> (clock: Clock, promise: Promise<T>, ms: number): Promise<T | undefined> {
  let cancel = (): void => undefined
  const timeout = new Promise<undefined>((resolve) => {
    cancel = clock.setTimer(ms, () => resolve(undefined))
  })
  try {
    return await Promise.race([promise, timeout])
  } finally {
    cancel()
  }
}
