import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { RoutedWork } from './RoutedWork.js'
import { SilenceWatch, type SilenceOptions } from './SilenceWatch.js'

/** Aborts one attempt. */
export interface AttemptSignal {
  signal: AbortSignal
  /** Records received data; from then on the silence limit within a stream applies. */
  recordActivity: () => void
  /** Suspends the silence check while reading is paused for a slow client. */
  setPaused: (isPaused: boolean) => void
  /** Aborts the attempt with this reason. */
  abort: (reason: PulleystackError) => void
  release: () => void
}

export interface AttemptOptions extends SilenceOptions {
  /** Whether another attempt may take over when the server is silent. */
  isSilenceWatched: boolean
}

/** Aborts with the request, or once another attempt has begun where silence is watched and the server has been silent for too long. */
export function createAttemptSignal (clock: Clock, work: RoutedWork, opts: AttemptOptions): AttemptSignal {
  const controller = new AbortController()
  const watch = new SilenceWatch(clock, work, opts, (silentMs) => {
    controller.abort(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `No data received for ${Math.round(silentMs)} ms`))
  })
  const handleAbort = (): void => {
    watch.stop()
    controller.abort(work.signal.reason)
  }
  if (work.signal.aborted) handleAbort()
  work.signal.addEventListener('abort', handleAbort, { once: true })
  if (opts.isSilenceWatched) watch.start()
  return {
    signal: controller.signal,
    recordActivity: () => watch.recordActivity(),
    setPaused: (isPaused) => watch.setPaused(isPaused),
    abort: (reason) => {
      watch.stop()
      controller.abort(reason)
    },
    release: () => {
      watch.stop()
      work.signal.removeEventListener('abort', handleAbort)
    },
  }
}
