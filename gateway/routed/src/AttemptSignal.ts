import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { RoutedWork } from './RoutedWork.js'

/** A repeatable request goes elsewhere when nothing has come for this many times its latency target. */
const SILENCE_TARGETS = 2
const MIN_SILENCE_MS = 250
/** A stream that may be resumed goes elsewhere after so many of the longest pauses that its route allows. */
const STALL_PAUSES = 3
const DEFAULT_PAUSE_MS = 400

/** The end of one attempt. */
export interface AttemptSignal {
  signal: AbortSignal
  /** Something has come; the next silence may last as long as the pauses that the route allows. */
  noteBytes: () => void
  release: () => void
}

/** Ends with the request, or, when silence is watched, when the server says nothing for too long. */
export function createAttemptSignal (clock: Clock, work: RoutedWork, isWatched: boolean): AttemptSignal {
  const abort = new AbortController()
  const leave = (): void => abort.abort(work.signal.reason)
  if (work.signal.aborted) leave()
  work.signal.addEventListener('abort', leave, { once: true })
  let heardAt = clock.readTime()
  let limitMs = Math.max(MIN_SILENCE_MS, work.route.targetLatencyMs * SILENCE_TARGETS)
  let cancel = (): void => undefined
  const look = (): void => {
    const leftMs = heardAt + limitMs - clock.readTime()
    if (leftMs > 0) cancel = clock.setTimer(leftMs, look)
    else abort.abort(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `Nothing came for ${Math.round(limitMs)} ms`))
  }
  if (isWatched) look()
  return {
    signal: abort.signal,
    noteBytes: () => {
      heardAt = clock.readTime()
      limitMs = (work.route.longestPauseMs ?? DEFAULT_PAUSE_MS) * STALL_PAUSES
    },
    release: () => {
      cancel()
      work.signal.removeEventListener('abort', leave)
    },
  }
}
