import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { RoutedWork } from './RoutedWork.js'

/** A repeatable request goes elsewhere when nothing has come for this many times its latency target. */
const SILENCE_TARGETS = 2
const MIN_SILENCE_MS = 250
/** A stream that may be resumed goes elsewhere after so many of the longest pauses that its route allows. */
const STALL_PAUSES = 3
const DEFAULT_PAUSE_MS = 400
/** A silent server that nobody can stand in for is looked at again after so long. */
const LOOK_AGAIN_MS = 250

/** The end of one attempt. */
export interface AttemptSignal {
  signal: AbortSignal
  /** Something has come; the next silence may last as long as the pauses that the route allows. */
  noteBytes: () => void
  /** The server is held back for a client that reads slowly, so that its silence means nothing; or it may go on. */
  noteHeld: (isHeld: boolean) => void
  release: () => void
}

export interface AttemptOptions {
  /** Whether the server's silence may end the attempt. */
  isWatched: boolean
  /** Whether another server could take the request over now. */
  canMove: () => boolean
}

/**
 * Ends with the request, or, when silence is watched, when the server says nothing for too long. An answer that has begun can't be refused any
 * more, so that it stays with a silent server until another one can go on with it.
 */
export function createAttemptSignal (clock: Clock, work: RoutedWork, opts: AttemptOptions): AttemptSignal {
  const abort = new AbortController()
  const leave = (): void => abort.abort(work.signal.reason)
  if (work.signal.aborted) leave()
  work.signal.addEventListener('abort', leave, { once: true })
  let heardAt = clock.readTime()
  let isHeld = false
  let limitMs = Math.max(MIN_SILENCE_MS, work.route.targetLatencyMs * SILENCE_TARGETS)
  let cancel = (): void => undefined
  const look = (): void => {
    const leftMs = isHeld ? limitMs : heardAt + limitMs - clock.readTime()
    if (leftMs > 0) cancel = clock.setTimer(leftMs, look)
    else if (work.stream.events > 0 && !opts.canMove()) cancel = clock.setTimer(LOOK_AGAIN_MS, look)
    else abort.abort(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `Nothing came for ${Math.round(limitMs)} ms`))
  }
  if (opts.isWatched) look()
  return {
    signal: abort.signal,
    noteBytes: () => {
      heardAt = clock.readTime()
      limitMs = (work.route.longestPauseMs ?? DEFAULT_PAUSE_MS) * STALL_PAUSES
    },
    noteHeld: (held) => {
      isHeld = held
      heardAt = clock.readTime()
    },
    release: () => {
      cancel()
      work.signal.removeEventListener('abort', leave)
    },
  }
}
