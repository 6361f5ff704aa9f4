import { Framings, type Framing } from '@pulleystack/core.bodies'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { EventSplitter, type ExchangeResponse, type StreamEvent } from '@pulleystack/routing.forward'
import type { ClientResponse } from './ClientResponse.js'
import { EventGaps } from './EventGaps.js'
import type { StreamFlusher } from './StreamFlusher.js'

/** Limit of comments and other blocks without a field between two events. */
const MAX_IDLE_BYTES = 64 << 10

/** Progress of a stream over all attempts. */
export interface StreamProgress {
  /** Id of the newest event that the client has received. */
  lastEventId: string | undefined
  /** Whether the newest event passed on had an id; without one, no attempt can continue after it. */
  newestHasId: boolean
  events: number
  /** Monotonic times of the first and the newest event, in milliseconds; undefined before the first. */
  firstAt: number | undefined
  newestAt: number | undefined
  /** Longest pause between two events, in milliseconds. */
  longestPauseMs: number
  gaps: EventGaps
  /** Framing of the newest response; undefined before the first. */
  framing: Framing | undefined
  /** Bytes of the event inside which the newest response ended. */
  incompleteBytes: number
  /** Whether a response to an earlier attempt ended inside an event, so that at least one event is left. */
  wasCutInsideEvent: boolean
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
  let events = 0
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
  let idleBytes = 0
  const add = (event: StreamEvent, now: number): void => {
    pending.push(event.bytes)
    idleBytes = event.isEmpty ? idleBytes + event.bytes.length : 0
    if (idleBytes > MAX_IDLE_BYTES) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The stream has more than ${MAX_IDLE_BYTES} bytes without an event`)
    if (event.isEmpty) return
    events++
    recordEvent(opts.progress, event.id, now)
  }
  try {
    await response.read((chunk) => {
      const now = opts.clock.readTime()
      const eventsBefore = events
      const hadEvents = events > 0
      for (const event of splitter.push(chunk)) add(event, now)
      if (pending.length === 0) return
      if (events > eventsBefore) opts.onEvents()
      if (hadEvents) flusher.schedule(flush)
      if (hadEvents || events === 0) return
      opts.onFirstEvent()
      if (!client.hasBegun) client.beginStream(response)
      flush()
    })
  } finally {
    // The client also gets the complete events of an interrupted stream.
    if (client.hasBegun) flush()
    opts.progress.incompleteBytes = splitter.isBetweenEvents ? 0 : splitter.pendingBytes
    opts.progress.wasCutInsideEvent ||= opts.progress.incompleteBytes > 0
  }
  checkEnd(opts.progress, response, events)
  if (!client.hasBegun) client.beginStream(response)
  const rest = splitter.takeRemainder()
  if (rest.length > 0) client.write(rest)
  client.endStream()
}

/** Rejects a response that ended before the last event, whatever its framing says. Errors: ATTEMPT_FAILED_UNKNOWN. */
function checkEnd (progress: StreamProgress, response: ExchangeResponse, events: number): void {
  if (progress.incompleteBytes > 0) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The stream ended ${progress.incompleteBytes} bytes into an event`)
  if (events === 0 && !mayBeEmpty(progress, response)) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The stream ended before its next event')
}

/** Whether a response without events may be whole: the client, or an earlier attempt, may have received the last one. */
function mayBeEmpty ({ wasCutInsideEvent, events, lastEventId }: StreamProgress, { framing }: ExchangeResponse): boolean {
  if (framing !== Framings.CLOSE) return !wasCutInsideEvent
  return events === 0 && lastEventId !== undefined && !wasCutInsideEvent
}

export function createStreamProgress (lastEventId: string | undefined): StreamProgress {
  return {
    lastEventId,
    newestHasId: false,
    events: 0,
    firstAt: undefined,
    newestAt: undefined,
    longestPauseMs: 0,
    gaps: new EventGaps(),
    framing: undefined,
    incompleteBytes: 0,
    wasCutInsideEvent: false,
    hadBackpressure: false,
  }
}

function recordEvent (progress: StreamProgress, id: string | undefined, now: number): void {
  progress.firstAt ??= now
  if (progress.newestAt !== undefined) progress.gaps.add(now - progress.newestAt)
  progress.longestPauseMs = Math.max(progress.longestPauseMs, now - (progress.newestAt ?? now))
  progress.newestAt = now
  progress.newestHasId = id !== undefined && id !== ''
  progress.lastEventId = id ?? progress.lastEventId
  progress.events++
}
