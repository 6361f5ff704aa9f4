import type { Clock } from '@pulleystack/core.clock'
import { EventSplitter, type ExchangeAnswer } from '@pulleystack/routing.forward'
import type { ClientAnswer } from './ClientAnswer.js'
import type { StreamPace } from './StreamPace.js'

/** How far a stream has come, over all attempts. */
export interface StreamProgress {
  /** Newest event that the client has. */
  lastEventId: string | undefined
  events: number
  /** Monotone times of the first and the newest event; undefined before the first. */
  firstAt: number | undefined
  newestAt: number | undefined
  /** Longest pause between two events so far, in milliseconds. */
  longestPauseMs: number
}

export interface RelayOptions {
  clock: Clock
  answer: ExchangeAnswer
  client: ClientAnswer
  progress: StreamProgress
  pace: StreamPace
  /** Whole events have come. */
  onEvents: () => void
  /** The server is held back for the client, or may go on. */
  onHeld: (isHeld: boolean) => void
  onFirstEvent: () => void
}

/**
 * Passes a stream on event by event, so that one that breaks off can be taken up behind the last whole event. The head of
 * the first answer stays when later ones go on. Rejects when the stream breaks off.
 */
export async function relayStream (opts: RelayOptions): Promise<void> {
  const { answer, client, pace } = opts
  const splitter = new EventSplitter()
  let gathered: Buffer[] = []
  let isFirst = true
  const flush = (): void => {
    if (gathered.length === 0) return
    const bytes = gathered.length === 1 ? gathered[0] as Buffer : Buffer.concat(gathered)
    gathered = []
    if (client.write(bytes)) return
    answer.pause()
    opts.onHeld(true)
    client.onDrain(() => {
      answer.resume()
      opts.onHeld(false)
    })
  }
  try {
    await answer.read((chunk) => {
      const now = opts.clock.readTime()
      for (const event of splitter.push(chunk)) {
        noteEvent(opts.progress, event.id, now)
        gathered.push(event.bytes)
      }
      if (gathered.length === 0) return
      opts.onEvents()
      if (!isFirst) {
        pace.schedule(flush)
        return
      }
      isFirst = false
      opts.onFirstEvent()
      if (!client.hasBegun) client.beginStream(answer)
      flush()
    })
  } finally {
    // Whole events that have come are the client's, also when the stream breaks off behind them.
    flush()
  }
  if (!client.hasBegun) client.beginStream(answer)
  const rest = splitter.takeRest()
  if (rest.length > 0) client.write(rest)
  client.endStream()
}

/** A stream of which nothing has come. */
export function createStreamProgress (lastEventId: string | undefined): StreamProgress {
  return { lastEventId, events: 0, firstAt: undefined, newestAt: undefined, longestPauseMs: 0 }
}

function noteEvent (progress: StreamProgress, id: string | undefined, now: number): void {
  progress.firstAt ??= now
  progress.longestPauseMs = Math.max(progress.longestPauseMs, now - (progress.newestAt ?? now))
  progress.newestAt = now
  progress.lastEventId = id ?? progress.lastEventId
  progress.events++
}
