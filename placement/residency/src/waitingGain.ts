import { LATE_SHARE } from './gains.js'
import type { WaitingStake } from './WaitingStake.js'

/** A copy that will be able to serve waiting requests. */
interface ServingCopy {
  /** Milliseconds until it serves requests. */
  readyMs: number
  /** Requests per second that it can serve beside the new ones. */
  perSecond: number
}

/** Waiting requests, most urgent first, that the present copies and those being loaded won't begin in time. */
export function listLeftWaiting (waiting: readonly WaitingStake[], copies: readonly ServingCopy[]): WaitingStake[] {
  const sorted = [...waiting].sort((a, b) => a.dueMs - b.dueMs)
  const starts = copies.filter((copy) => copy.perSecond > 0).map(({ readyMs, perSecond }) => ({ nextMs: readyMs, stepMs: 1000 / perSecond }))
  if (starts.length === 0) return sorted
  return sorted.filter((stake) => {
    const first = starts.reduce((a, b) => b.nextMs < a.nextMs ? b : a)
    // An overdue request is late in any case, so that a copy only has to begin it before it expires.
    if (first.nextMs > (stake.dueMs > 0 ? stake.dueMs : stake.expiresMs)) return true
    first.nextMs += first.stepMs
    return false
  })
}

/** Weighted number of waiting requests, most urgent first, that a copy can begin in time or, for less, before they expire. */
export function computeWaitingGain (sorted: readonly WaitingStake[], { readyMs, perSecond }: ServingCopy): number {
  if (perSecond <= 0) return 0
  const late: WaitingStake[] = []
  let gain = 0
  let beginsMs = readyMs
  for (const stake of sorted) {
    if (beginsMs > stake.dueMs) late.push(stake)
    else {
      gain += stake.weight
      beginsMs += 1000 / perSecond
    }
  }
  for (const stake of late) {
    if (beginsMs > stake.expiresMs) continue
    gain += stake.weight * LATE_SHARE
    beginsMs += 1000 / perSecond
  }
  return gain
}
