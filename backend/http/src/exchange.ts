import http from 'node:http'
import { parseAddress } from '@pulleystack/core.addresses'
import { isFinalStatus, watchReset } from '@pulleystack/core.bodies'
import { PulleystackError, Ran } from '@pulleystack/core.errors'

const MAX_ANSWER_BYTES = 64 << 20

export interface ExchangeOptions {
  address: string
  method: string
  path: string
  headers?: http.OutgoingHttpHeaders
  body?: string | Buffer
  timeoutMs?: number
  signal?: AbortSignal
  agent?: http.Agent
  /** Resets the connection on timeout. This discards unsent data, which could otherwise arrive long after the timeout. */
  resetOnTimeout?: boolean
}

export interface ExchangeAnswer {
  status: number
  headers: http.IncomingHttpHeaders
  body: Buffer
}

/**
 * Sends a request and resolves with the head of its response, whose body fails when the connection is reset. Errors have `ran: no` only if no connection
 * was established.
 */
export function openExchange (opts: ExchangeOptions, writeBody: (request: http.ClientRequest) => void): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    const { host, port } = parseAddress(opts.address)
    const request = http.request({ host, port, method: opts.method, path: opts.path, headers: opts.headers, agent: opts.agent })
    const removeAbortListener = destroyOnAbort(request, opts.signal)
    let connected = false
    request.on('socket', (socket) => {
      connected = !socket.connecting
      if (connected) return
      socket.once('connect', () => {
        connected = true
      })
    })
    request.on('response', (response) => {
      // Prevents an uncaught error if the request is aborted before the body is read. A reader still gets the error.
      response.on('error', () => undefined)
      watchReset(request, response, (cause) => response.destroy(cause))
      const status = response.statusCode ?? 0
      if (isFinalStatus(status)) resolve(response)
      else request.destroy(new Error(`The response has the invalid status ${status}`))
    })
    request.on('close', removeAbortListener)
    request.on('error', (cause) => reject(createExchangeError(opts.address, connected, cause)))
    if (opts.timeoutMs !== undefined) {
      request.setTimeout(opts.timeoutMs, () => {
        if (opts.resetOnTimeout) request.socket?.resetAndDestroy()
        request.destroy(new Error('timed out'))
      })
    }
    writeBody(request)
  })
}

// Cheaper than Node's `signal` option, which adds several listeners and an error object to each request.
function destroyOnAbort (request: http.ClientRequest, signal: AbortSignal | undefined): () => void {
  if (!signal) return () => undefined
  const destroy = (): void => {
    request.destroy(new Error('aborted'))
  }
  if (signal.aborted) destroy()
  signal.addEventListener('abort', destroy, { once: true })
  return () => signal.removeEventListener('abort', destroy)
}

/** Sends a request and reads the whole response, which must not be large. */
export async function exchange (opts: ExchangeOptions): Promise<ExchangeAnswer> {
  const response = await openExchange(opts, (request) => request.end(opts.body))
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > MAX_ANSWER_BYTES) throw new Error('response is too large')
      chunks.push(chunk)
    }
  } catch (cause) {
    throw createExchangeError(opts.address, true, cause)
  }
  return { status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks) }
}

/** Parses the JSON body of a response; throws STORE_ANSWER_INVALID if it isn't JSON. */
export function parseJson<T> (body: Buffer): T {
  try {
    return JSON.parse(body.toString()) as T
  } catch (cause) {
    throw new PulleystackError('STORE_ANSWER_INVALID', 'The response is not valid JSON', { cause })
  }
}

function createExchangeError (address: string, connected: boolean, cause: unknown): PulleystackError {
  const reason = cause instanceof Error ? cause.message : String(cause)
  if (connected) return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The connection to ${address} failed: ${reason}`, { ran: Ran.UNKNOWN, cause })
  return new PulleystackError('ATTEMPT_FAILED_NOT_RUN', `Cannot connect to ${address}: ${reason}`, { ran: Ran.NO, cause })
}
