import http from 'node:http'
import { pipeline } from 'node:stream/promises'
import { parseAddress } from '@pulleystack/core.addresses'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { Headers } from '@pulleystack/gateway.http'
import type { RequestContext } from './RequestContext.js'

const HOP_HEADERS = ['connection', 'keep-alive', 'transfer-encoding', 'host', 'expect', 'content-length']

export interface RelayTarget {
  address: string
  instance: string
}

const agent = new http.Agent({ keepAlive: true, maxSockets: 1_000 })

/**
 * Sends a request on to an instance that serves its service; the hop header keeps it from going any further. True when
 * it was answered, false when the instance could not be reached, so that nothing of the request was received there.
 */
export async function relayRequest (context: RequestContext, target: RelayTarget, from: string, body: Buffer | undefined): Promise<boolean> {
  try {
    const answer = await openRelay(context, target, from, body)
    context.response.writeHead(answer.statusCode ?? 502, dropHopHeaders(answer.headers))
    await pipeline(answer, context.response)
    return true
  } catch (thrown) {
    if (thrown instanceof PulleystackError && thrown.ran === Ran.NO) {
      // A body that streams has been read in part by now; nobody else can be sent the whole of it.
      if (body === undefined) throw thrown
      return false
    }
    if (context.response.headersSent) context.response.destroy()
    throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The relay to ${target.instance} broke off`, { cause: thrown })
  }
}

function openRelay (context: RequestContext, target: RelayTarget, from: string, body: Buffer | undefined): Promise<http.IncomingMessage> {
  const { request, url } = context
  const headers: http.OutgoingHttpHeaders = { ...dropHopHeaders(request.headers), [Headers.RELAYED]: from }
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
    let connected = false
    outgoing.on('socket', (socket) => {
      connected = !socket.connecting
      if (connected) return
      socket.once('connect', () => {
        connected = true
      })
    })
    outgoing.on('response', resolve)
    outgoing.on('error', (cause) => reject(connected ? cause : new PulleystackError('ATTEMPT_FAILED_NOT_RUN', `${target.instance} cannot be reached`, { cause })))
    if (body) outgoing.end(body)
    else request.pipe(outgoing)
  })
}

function dropHopHeaders (headers: http.IncomingHttpHeaders): http.OutgoingHttpHeaders {
  return Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_HEADERS.includes(name)))
}
