import http from 'node:http'
import { pipeline } from 'node:stream/promises'
import { parseAddress } from '@pulleystack/core.addresses'
import { watchReset } from '@pulleystack/core.bodies'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { HeaderNames, cutResponse } from '@pulleystack/gateway.http'
import type { RequestContext } from './RequestContext.js'

const HOP_BY_HOP_HEADERS = ['connection', 'keep-alive', 'transfer-encoding', 'host', 'expect', 'content-length']

export interface RelayTarget {
  address: string
  instance: string
}

/** A request to relay. */
export interface CallerRelay {
  clock: Clock
  /** Name of this instance. */
  sender: string
  /** Undefined for a body that is streamed. */
  body: Buffer | undefined
  /** Monotonic time in milliseconds by which the caller needs the response. */
  deadline: number
}

const agent = new http.Agent({ keepAlive: true, maxSockets: 1_000 })

/**
 * Relays a request to an instance that serves its service; a header keeps that instance from relaying it again. Returns
 * false if no connection could be made and the caller may try another instance. Throws ATTEMPT_FAILED_NOT_RUN in that case
 * if the body is a stream, ATTEMPT_FAILED_UNKNOWN if the relay fails later, and DEADLINE_UNKNOWN if the deadline passes first.
 */
export async function relayRequest (context: RequestContext, target: RelayTarget, relay: CallerRelay): Promise<boolean> {
  const expired = new AbortController()
  const cancelTimer = relay.clock.setTimer(Math.max(0, relay.deadline - relay.clock.readTime()), () => expired.abort())
  try {
    const response = await sendToInstance(context, target, relay, expired.signal)
    context.response.writeHead(response.statusCode ?? 502, dropHopByHopHeaders(response.headers))
    await pipeline(response, context.response)
    return true
  } catch (thrown) {
    if (thrown instanceof PulleystackError && thrown.ran === Ran.NO) {
      // A streamed body has been read in part and can't be sent again.
      if (relay.body === undefined) throw thrown
      return false
    }
    if (context.response.headersSent) cutResponse(context.response)
    if (expired.signal.aborted) throw new PulleystackError('DEADLINE_UNKNOWN', `${target.instance} did not answer before the deadline`, { cause: thrown })
    throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The connection to ${target.instance} failed while the request was relayed`, { cause: thrown })
  } finally {
    cancelTimer()
  }
}

function sendToInstance (context: RequestContext, target: RelayTarget, relay: CallerRelay, expired: AbortSignal): Promise<http.IncomingMessage> {
  const { request, url } = context
  const { clock, sender, body, deadline } = relay
  const leftMs = Math.max(1, Math.floor(deadline - clock.readTime()))
  const headers: http.OutgoingHttpHeaders = { ...dropHopByHopHeaders(request.headers), [HeaderNames.RELAYED]: sender, [HeaderNames.DEADLINE]: leftMs }
  if (body) headers['content-length'] = body.length
  return new Promise((resolve, reject) => {
    const outgoing = http.request({
      ...parseAddress(target.address),
      method: request.method,
      path: url.pathname + url.search,
      headers,
      agent,
      signal: AbortSignal.any([context.signal, expired]),
    })
    let isConnected = false
    outgoing.on('socket', (socket) => {
      isConnected = !socket.connecting
      if (isConnected) return
      socket.once('connect', () => {
        isConnected = true
      })
    })
    outgoing.on('response', (message) => {
      watchReset(outgoing, message, (cause) => message.destroy(cause))
      resolve(message)
    })
    outgoing.on('error', (cause) => reject(isConnected || expired.aborted ? cause : new PulleystackError('ATTEMPT_FAILED_NOT_RUN', `Cannot reach ${target.instance}`, { cause })))
    if (body) outgoing.end(body)
    else request.pipe(outgoing)
  })
}

function dropHopByHopHeaders (headers: http.IncomingHttpHeaders): http.OutgoingHttpHeaders {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_BY_HOP_HEADERS.includes(name)))
}
