import http from 'node:http'
import { parseAddress } from '@pulleystack/core.addresses'
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
  /** Throws away what the kernel has not sent yet, so that nothing arrives long after the timeout. */
  resetOnTimeout?: boolean
}

export interface ExchangeAnswer {
  status: number
  headers: http.IncomingHttpHeaders
  body: Buffer
}

/** Opens a request; the error says `ran: no` only when no connection came about, so that nothing was received. */
export function openExchange (opts: ExchangeOptions, writeBody: (request: http.ClientRequest) => void): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    const { host, port } = parseAddress(opts.address)
    const request = http.request({ host, port, method: opts.method, path: opts.path, headers: opts.headers, agent: opts.agent })
    const release = destroyOnAbort(request, opts.signal)
    let connected = false
    request.on('socket', (socket) => {
      connected = !socket.connecting
      if (connected) return
      socket.once('connect', () => {
        connected = true
      })
    })
    request.on('response', (response) => {
      // An abort may come while nobody reads; the reader sees the error all the same.
      response.on('error', () => undefined)
      resolve(response)
    })
    request.on('close', release)
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

// Node's own `signal` option costs several listeners and an error object for each request.
function destroyOnAbort (request: http.ClientRequest, signal: AbortSignal | undefined): () => void {
  if (!signal) return () => undefined
  const destroy = (): void => {
    request.destroy(new Error('aborted'))
  }
  if (signal.aborted) destroy()
  signal.addEventListener('abort', destroy, { once: true })
  return () => signal.removeEventListener('abort', destroy)
}

/** One whole exchange with a small answer. */
export async function exchange (opts: ExchangeOptions): Promise<ExchangeAnswer> {
  const response = await openExchange(opts, (request) => request.end(opts.body))
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > MAX_ANSWER_BYTES) throw new Error('answer is too large')
      chunks.push(chunk)
    }
  } catch (cause) {
    throw createExchangeError(opts.address, true, cause)
  }
  return { status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks) }
}

/** Reads an answer's JSON; an answer that isn't JSON is the platform's fault, not ours. */
export function parseJson<T> (body: Buffer): T {
  try {
    return JSON.parse(body.toString()) as T
  } catch (cause) {
    throw new PulleystackError('STORE_ANSWER_INVALID', 'An answer is not JSON', { cause })
  }
}

function createExchangeError (address: string, connected: boolean, cause: unknown): PulleystackError {
  const reason = cause instanceof Error ? cause.message : String(cause)
  if (connected) return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `${address} was lost during the exchange: ${reason}`, { ran: Ran.UNKNOWN, cause })
  return new PulleystackError('ATTEMPT_FAILED_NOT_RUN', `${address} cannot be reached: ${reason}`, { ran: Ran.NO, cause })
}
