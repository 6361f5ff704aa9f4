import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { Observable } from 'rxjs'
import type { RoutedWork } from './RoutedWork.js'

/** Silence before the first data that ends an attempt, as a multiple of the route's latency target. */
const SILENCE_LATENCY_FACTOR = 2
const MIN_SILENCE_MS = 250
/** Silence within a stream that ends an attempt, as a multiple of the longest pause that the route allows. */
const STALL_PAUSE_FACTOR = 3
const DEFAULT_PAUSE_MS = 400
/** Interval for checking whether another server can resume a stalled stream. */
const RECHECK_INTERVAL_MS = 250

/** Aborts one attempt. */
export interface AttemptSignal {
  signal: AbortSignal
  /** Records received data; from then on the silence limit within a stream applies. */
  recordActivity: () => void
  /** Suspends the silence check while reading is paused for a slow client. */
  setPaused: (isPaused: boolean) => void
  release: () => void
}

export interface AttemptOptions {
  /** Whether silence of the server may end the attempt. */
  isSilenceWatched: boolean
  /** Silence before the first data, in milliseconds, up to which the server's response isn't overdue; 0 if unknown. */
  overdueMs?: number
  /** Whether another server can take over the request now; reserves what that takes if it returns true. */
  reserveSwitch: () => boolean
  /** Whether other requests wait for the slot of this one. */
  isSlotAwaited?: () => boolean
  /** Called once when the response is overdue and the request stays with the server. */
  onOverdue?: () => void
  /** Called when a stream has paused for longer than its route allows, once for each pause. */
  onLongPause?: () => void
  /** Called with the milliseconds until the first data of the response. */
  onFirstData?: (ms: number) => void
  /** Emits when new connections to the server fail; a connection that is silent by then is likely lost too. */
  lostPath?: Observable<void>
}

/**
 * Aborts with the request, or when the server is silent for too long if silence is watched. A request stays with a silent server, which may be at work on
 * it, until another one can take over; one without a response leaves its slot where others wait for it.
 */
export function createAttemptSignal (clock: Clock, work: RoutedWork, opts: AttemptOptions): AttemptSignal {
  const controller = new AbortController()
  const handleAbort = (): void => controller.abort(work.signal.reason)
  if (work.signal.aborted) handleAbort()
  work.signal.addEventListener('abort', handleAbort, { once: true })
  const startedAt = clock.readTime()
  let lastActivityAt = startedAt
  let hasData = false
  let isPaused = false
  let limitMs = Math.max(MIN_SILENCE_MS, work.route.targetLatencyMs * SILENCE_LATENCY_FACTOR)
  let patienceMs = opts.overdueMs ?? 0
  let isOverdue = false
  const longestPauseMs = work.route.longestPauseMs ?? DEFAULT_PAUSE_MS
  let reportedPauseAt: number | undefined
  let cancel = (): void => undefined
  const checkSilence = (): void => {
    if (controller.signal.aborted) return
    const silentMs = isPaused ? 0 : clock.readTime() - lastActivityAt
    const mustLeave = work.stream.events === 0 && opts.isSlotAwaited?.() === true
    if (work.stream.events > 0 && silentMs >= longestPauseMs && reportedPauseAt !== lastActivityAt) {
      reportedPauseAt = lastActivityAt
      opts.onLongPause?.()
    }
    const nextMs = silentMs < longestPauseMs ? Math.min(longestPauseMs, limitMs) : limitMs
    if (silentMs < nextMs) cancel = clock.setTimer(nextMs - silentMs, checkSilence)
    else if (!mustLeave && (silentMs < patienceMs || !opts.reserveSwitch())) {
      if (!hasData && silentMs >= patienceMs && !isOverdue) opts.onOverdue?.()
      isOverdue ||= silentMs >= patienceMs
      cancel = clock.setTimer(RECHECK_INTERVAL_MS, checkSilence)
    } else controller.abort(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `No data received for ${Math.round(limitMs)} ms`))
  }
  const handleLostPath = (): void => {
    cancel()
    limitMs = MIN_SILENCE_MS
    patienceMs = 0
    checkSilence()
  }
  if (opts.isSilenceWatched) checkSilence()
  const losses = opts.isSilenceWatched ? opts.lostPath?.subscribe(handleLostPath) : undefined
  return {
    signal: controller.signal,
    recordActivity: () => {
      lastActivityAt = clock.readTime()
      if (!hasData) opts.onFirstData?.(lastActivityAt - startedAt)
      hasData = true
      patienceMs = 0
      limitMs = longestPauseMs * STALL_PAUSE_FACTOR
    },
    setPaused: (paused) => {
      isPaused = paused
      lastActivityAt = clock.readTime()
    },
    release: () => {
      cancel()
      losses?.unsubscribe()
      work.signal.removeEventListener('abort', handleAbort)
    },
  }
}
