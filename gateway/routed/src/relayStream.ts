import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { EventSplitter, Framings, type ExchangeResponse, type Framing } from '@pulleystack/routing.forward'
import type { ClientResponse } from './ClientResponse.js'
import { EventGaps } from './EventGaps.js'
import type { StreamFlusher } from './StreamFlusher.js'

/** Progress of a stream over all attempts. */
export interface StreamProgress {
  /** Id of the newest event that the client has received. */
  lastEventId: string | undefined
  events: number
  /** Monotonic times of the first and the newest event, in milliseconds; undefined before the first. */
  firstAt: number | undefined
  newestAt: number | undefined
  /** Longest pause between two events, in milliseconds. */
  longestPauseMs: number
  gaps: EventGaps
  /** Framing of the newest response; undefined before the first. */
  framing: Framing | undefined
  /** Bytes after the last complete event of the newest response. */
  incompleteBytes: number
  /** Whether reading paused for a slow client. */
  hadBackpressure: boolean
}

export interface StreamRelayOptions {
  clock: Clock
  response: ExchangeResponse
  client: ClientResponse
  progress: StreamProgress
  flusher: StreamFlusher
  /** Called when complete events have arrived. */
  onEvents: () => void
  /** Called with true when reading pauses for a slow client, and with false when it resumes. */
  onBackpressure: (isPaused: boolean) => void
  onFirstEvent: () => void
}

/**
 * Forwards a stream event by event, so that an interrupted one can be resumed after the last complete event. The client keeps the head of the first
 * response when another attempt resumes the stream. Rejects when the stream is interrupted or ends inside an event.
 */
export async function relayStream (opts: StreamRelayOptions): Promise<void> {
  const { response, client, flusher } = opts
  const splitter = new EventSplitter()
  opts.progress.framing = response.framing
  let pending: Buffer[] = []
  let isFirst = true
  const flush = (): void => {
    if (pending.length === 0) return
    const bytes = pending.length === 1 ? pending[0] as Buffer : Buffer.concat(pending)
    pending = []
    if (client.write(bytes)) return
    opts.progress.hadBackpressure = true
    response.pause()
    opts.onBackpressure(true)
    client.onDrain(() => {
      response.resume()
      opts.onBackpressure(false)
    })
  }
  try {
    await response.read((chunk) => {
      const now = opts.clock.readTime()
      for (const event of splitter.push(chunk)) {
        recordEvent(opts.progress, event.id, now)
        pending.push(event.bytes)
      }
      if (pending.length === 0) return
      opts.onEvents()
      if (!isFirst) {
        flusher.schedule(flush)
        return
      }
      isFirst = false
      opts.onFirstEvent()
      if (!client.hasBegun) client.beginStream(response)
      flush()
    })
  } finally {
    // The client also gets the complete events of an interrupted stream.
    flush()
    opts.progress.incompleteBytes = splitter.pendingBytes
  }
  checkEnd(opts.progress, response, splitter)
  if (!client.hasBegun) client.beginStream(response)
  const rest = splitter.takeRemainder()
  if (rest.length > 0) client.write(rest)
  client.endStream()
}

/**
 * Rejects a response that ended inside an event, whatever its framing says, or without any event where only the close of its connection ended it.
 * Errors: ATTEMPT_FAILED_UNKNOWN.
 */
function checkEnd (progress: StreamProgress, { framing }: ExchangeResponse, splitter: EventSplitter): void {
  if (!splitter.isBetweenEvents) {
    throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The stream ended ${splitter.pendingBytes} bytes into an event`)
  }
  // A resumed stream may have ended after the event that the client has.
  const mayBeEmpty = framing !== Framings.CLOSE || progress.lastEventId !== undefined
  if (progress.events === 0 && !mayBeEmpty) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The stream ended before its first event')
}

export function createStreamProgress (lastEventId: string | undefined): StreamProgress {
  return {
    lastEventId,
    events: 0,
    firstAt: undefined,
    newestAt: undefined,
    longestPauseMs: 0,
    gaps: new EventGaps(),
    framing: undefined,
    incompleteBytes: 0,
    hadBackpressure: false,
  }
}

function recordEvent (progress: StreamProgress, id: string | undefined, now: number): void {
  progress.firstAt ??= now
  if (progress.newestAt !== undefined) progress.gaps.add(now - progress.newestAt)
  progress.longestPauseMs = Math.max(progress.longestPauseMs, now - (progress.newestAt ?? now))
  progress.newestAt = now
  progress.lastEventId = id ?? progress.lastEventId
  progress.events++
}
