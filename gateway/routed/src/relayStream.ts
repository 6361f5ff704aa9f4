import { EventSplitter, type ExchangeAnswer } from '@pulleystack/routing.forward'
import type { ClientAnswer } from './ClientAnswer.js'

/** How far a stream has come, over all attempts. */
export interface StreamProgress {
  /** Newest event that the client has. */
  lastEventId: string | undefined
  events: number
}

/**
 * Passes a stream on event by event, so that one that breaks off can be taken up behind the last whole event. The head of
 * the first answer stays when later ones go on. Rejects when the stream breaks off.
 */
export async function relayStream (opts: {
  answer: ExchangeAnswer
  client: ClientAnswer
  progress: StreamProgress
  signal: AbortSignal
  onFirstEvent: () => void
}): Promise<void> {
  const { answer, client, progress, signal } = opts
  const splitter = new EventSplitter()
  let isFirst = true
  for await (const chunk of answer.readChunks()) {
    const events = splitter.push(chunk)
    if (events.length === 0) continue
    if (isFirst) opts.onFirstEvent()
    isFirst = false
    if (!client.hasBegun) client.beginStream(answer)
    for (const event of events) {
      progress.lastEventId = event.id ?? progress.lastEventId
      progress.events++
    }
    await client.write(Buffer.concat(events.map((event) => event.bytes)), signal)
  }
  if (!client.hasBegun) client.beginStream(answer)
  const rest = splitter.takeRest()
  if (rest.length > 0) await client.write(rest, signal)
  client.endStream()
}
