import { RepeatModes } from '@pulleystack/config.routes'
import { PulleystackError } from '@pulleystack/core.errors'
import type { Clock } from '@pulleystack/core.clock'
import type { HeldBytes, Holding } from '@pulleystack/gateway.http'
import type { ExchangeResponse } from '@pulleystack/routing.forward'
import type { AttemptSignal } from './AttemptSignal.js'
import type { ClientResponse } from './ClientResponse.js'
import { relayStream } from './relayStream.js'
import type { RoutedWork } from './RoutedWork.js'
import type { RunProgress } from './RunProgress.js'
import type { StreamFlusher } from './StreamFlusher.js'

const MAX_BODY_BYTES = 32 << 20
export const MIN_SERVER_ERROR_STATUS = 500

/** A server's response to one attempt, received from the server or through another instance. */
export interface ReceivedResponse {
  work: RoutedWork
  progress: RunProgress
  client: ClientResponse
  response: ExchangeResponse
  attempt: AttemptSignal
  /** Called before the first event of the response is passed on. */
  onFirstEvent: () => void
  /** Called when the first event has arrived. */
  onBegun: () => void
  /** Called when the server has processed the prompt. */
  onPrefilled: () => void
  /** Called at the regular end of a stream. */
  onStreamEnd: () => void
}

export interface RelayOptions {
  clock: Clock
  flusher: StreamFlusher
  /** Bounds what all clients together make this instance hold. */
  held: HeldBytes
}

/** Relays a server's response; returns an error instead if the server failed and another attempt may succeed. */
export async function relayServerResponse (opts: RelayOptions, it: ReceivedResponse): Promise<PulleystackError | undefined> {
  const { work, response } = it
  if (work.route.streams && response.status === 200 && work.method !== 'HEAD' && isEventStream(response)) {
    await relayEvents(opts, it)
    it.onStreamEnd()
    return undefined
  }
  const holding = opts.held.open(() => response.abort())
  try {
    return relayBody(it, await readHeldResponse(response, holding))
  } finally {
    holding.release()
  }
}

/** Reads a body that counts with what clients make this instance hold. Errors: ATTEMPT_FAILED_UNKNOWN if there is no room for it, as the request has run. */
function readHeldResponse (response: ExchangeResponse, holding: Holding): Promise<Buffer> {
  return response.readBody(MAX_BODY_BYTES, (bytes) => {
    try {
      holding.add(bytes)
    } catch (cause) {
      throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'There is no room for the response', { cause })
    }
  })
}

function relayBody (it: ReceivedResponse, body: Buffer): PulleystackError | undefined {
  const { work, progress, response, client } = it
  it.attempt.recordActivity()
  it.onPrefilled()
  if (client.hasBegun) return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The server responded with status ${response.status} instead of resuming the stream`)
  if (response.status < MIN_SERVER_ERROR_STATUS) {
    client.sendBuffered(response, body)
    return undefined
  }
  progress.serverFailure = { response, body }
  if (work.route.repeat !== RepeatModes.REPEATABLE) {
    client.sendBuffered(response, body)
    return undefined
  }
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The server responded with status ${response.status}`)
}

async function relayEvents (opts: RelayOptions, it: ReceivedResponse): Promise<void> {
  try {
    await relayStream({
      clock: opts.clock,
      response: it.response,
      client: it.client,
      progress: it.progress.stream,
      flusher: opts.flusher,
      onEvents: it.attempt.recordActivity,
      onBackpressure: it.attempt.setPaused,
      onFirstEvent: () => {
        it.onFirstEvent()
        it.onPrefilled()
        it.onBegun()
      },
    })
  } catch (thrown) {
    it.response.recordFailure()
    throw thrown
  }
}

/** Servers may leave the type out. */
function isEventStream ({ headers }: ExchangeResponse): boolean {
  return /^\s*text\/event-stream\b/i.test(headers['content-type'] || 'text/event-stream')
}
