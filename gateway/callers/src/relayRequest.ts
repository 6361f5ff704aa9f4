import http from 'node:http'
import { pipeline } from 'node:stream/promises'
import { parseAddress } from '@pulleystack/core.addresses'
import { watchReset } from '@pulleystack/core.bodies'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { HeaderNames, cutResponse } from '@pulleystack/gateway.http'
import type { RequestContext } from './RequestContext.js'

const HOP_BY_HOP_HEADERS = ['connection', 'keep-alive', 'transfer-encoding', 'host', 'expect', 'content-length']

export interface RelayTarget {
  address: string
  instance: string
}

const agent = new http.Agent({ keepAlive: true, maxSockets: 1_000 })

/**
 * Relays a request to an instance that serves its service; a header keeps that instance from relaying it again. Returns
 * false if no connection could be made and the caller may try another instance. Throws ATTEMPT_FAILED_NOT_RUN in that case
 * if the body is a stream, and ATTEMPT_FAILED_UNKNOWN if the relay fails later.
 */
export async function relayRequest (context: RequestContext, target: RelayTarget, sender: string, body: Buffer | undefined): Promise<boolean> {
  try {
    const response = await sendToInstance(context, target, sender, body)
    context.response.writeHead(response.statusCode ?? 502, dropHopByHopHeaders(response.headers))
    await pipeline(response, context.response)
    return true
  } catch (thrown) {
    if (thrown instanceof PulleystackError && thrown.ran === Ran.NO) {
      // A streamed body has been read in part and can't be sent again.
      if (body === undefined) throw thrown
      return false
    }
    if (context.response.headersSent) cutResponse(context.response)
    throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The connection to ${target.instance} failed while the request was relayed`, { cause: thrown })
  }
}

function sendToInstance (context: RequestContext, target: RelayTarget, sender: string, body: Buffer | undefined): Promise<http.IncomingMessage> {
  const { request, url } = context
  const headers: http.OutgoingHttpHeaders = { ...dropHopByHopHeaders(request.headers), [HeaderNames.RELAYED]: sender }
  if (body) headers['content-length'] = body.length
  return new Promise((resolve, reject) => {
    const outgoing = http.request({
      ...parseAddress(target.address),
      method: request.method,
      path: url.pathname + url.search,
      headers,
      agent,
      signal: context.signal,
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
    outgoing.on('error', (cause) => reject(isConnected ? cause : new PulleystackError('ATTEMPT_FAILED_NOT_RUN', `Cannot reach ${target.instance}`, { cause })))
    if (body) outgoing.end(body)
    else request.pipe(outgoing)
  })
}

function dropHopByHopHeaders (headers: http.IncomingHttpHeaders): http.OutgoingHttpHeaders {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_BY_HOP_HEADERS.includes(name)))
}
