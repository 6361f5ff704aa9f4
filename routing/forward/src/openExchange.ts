import http from 'node:http'
import type { ResponseFacts, RoutedProtocol } from '@pulleystack/backend.interfaces'
import { parseAddress } from '@pulleystack/core.addresses'
import { Framings, isFinalStatus, watchOverhead } from '@pulleystack/core.bodies'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { BackendAgent, BackendRequestOptions } from './BackendAgent.js'
import { ExchangeResponse } from './ExchangeResponse.js'

/** One request to one backend server. */
export interface ExchangeOptions {
  agent: BackendAgent
  protocol: Pick<RoutedProtocol, 'readResponse'>
  clock: Clock
  address: string
  method: string
  /** Path and query, as received from the client. */
  path: string
  /** Alternating names and values. */
  headers: readonly string[]
  body: Buffer | undefined
  requestId: string | undefined
  /** Connection timeout in milliseconds. */
  connectTimeoutMs: number
  /** Whether a response that only the close of its connection ends is rejected, as other instances never send one. */
  mustBeFramed?: boolean
  /** Aborts the exchange and closes its connection. */
  signal: AbortSignal
  /** Called when the whole request has been handed to the connection. */
  onWritten?: () => void
  /** Called for every response head, also for a response that is rejected afterwards. */
  onHead?: (facts: ResponseFacts) => void
}

/**
 * Sends one request and resolves with its response once the head has been checked. Rejects with ATTEMPT_FAILED_NOT_RUN
 * when no byte was sent, BACKEND_REFUSED when the server reports that it did not run the request, and
 * ATTEMPT_FAILED_UNKNOWN otherwise.
 */
export function openExchange (opts: ExchangeOptions): Promise<ExchangeResponse> {
  return new Promise((resolve, reject) => {
    const { host, port } = parseAddress(opts.address)
    const { agent, method, path, requestId } = opts
    const options: BackendRequestOptions = { host, port, agent, method, path, headers: [...opts.headers], setHost: false, requestId }
    const request = http.request(options)
    const connection = watchConnection(opts, request)
    const overhead = watchOverhead(request)
    let response: ExchangeResponse | undefined
    const release = (): void => {
      connection.stop()
      overhead.stop()
      opts.signal.removeEventListener('abort', abort)
    }
    const abort = (): void => {
      if (response) response.abort()
      else request.destroy()
      release()
      reject(createFailure(connection.wasConnected(), 'The attempt was aborted', opts.signal.reason))
    }
    request.on('error', (cause) => {
      release()
      reject(createFailure(connection.wasConnected(), cause.message, cause))
    })
    request.once('response', (message) => {
      connection.stop()
      const recordFailure = (): void => {
        if (requestId !== undefined) agent.recordFailure(message.socket, requestId)
      }
      const facts = opts.protocol.readResponse(message.statusCode ?? 0, message.headers)
      response = new ExchangeResponse({ request, message, facts, overhead, recordFailure })
      opts.onHead?.(response.facts)
      const problem = checkHead(response, opts)
      if (problem || !isSuccess(response.status)) recordFailure()
      message.once('close', release)
      if (!problem) {
        resolve(response)
        return
      }
      if (problem.ran === Ran.NO) response.discard()
      else response.abort()
      reject(problem)
    })
    if (opts.signal.aborted) {
      abort()
      return
    }
    opts.signal.addEventListener('abort', abort, { once: true })
    request.once('finish', () => opts.onWritten?.())
    request.end(opts.body)
  })
}

/** Tracks whether the connection is established; destroys the request when that times out. */
function watchConnection (opts: ExchangeOptions, request: http.ClientRequest): { wasConnected: () => boolean, stop: () => void } {
  let isConnected = false
  let cancel = (): void => undefined
  request.once('socket', (socket) => {
    isConnected = !socket.connecting
    if (isConnected) return
    cancel = opts.clock.setTimer(opts.connectTimeoutMs, () => request.destroy(new Error(`No connection was established within ${opts.connectTimeoutMs} ms`)))
    socket.once('connect', () => {
      isConnected = true
      cancel()
    })
  })
  return { wasConnected: () => isConnected, stop: () => cancel() }
}

function isSuccess (status: number): boolean {
  return status >= 200 && status < 300
}

function createFailure (wasConnected: boolean, message: string, cause: unknown): PulleystackError {
  return new PulleystackError(wasConnected ? 'ATTEMPT_FAILED_UNKNOWN' : 'ATTEMPT_FAILED_NOT_RUN', message, { cause })
}

function checkHead ({ facts, framing, status }: ExchangeResponse, { requestId, mustBeFramed = false }: ExchangeOptions): PulleystackError | undefined {
  if (requestId !== undefined && facts.requestId !== requestId) {
    return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The response belongs to another request')
  }
  if (!isFinalStatus(status)) return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The response has the invalid status ${status}`)
  if (facts.notRun) return new PulleystackError('BACKEND_REFUSED', 'The server rejected the request without running it', { ran: Ran.NO })
  if (!facts.isConfirmedByServer) return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The response is not signed by the server')
  if (mustBeFramed && framing === Framings.CLOSE) return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The response has neither a length nor chunks')
  return undefined
}
