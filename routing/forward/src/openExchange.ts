import http from 'node:http'
import type { AnswerFacts, RoutedProtocol } from '@pulleystack/backend.interfaces'
import { parseAddress } from '@pulleystack/core.addresses'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { BackendAgent } from './BackendAgent.js'
import { ExchangeAnswer } from './ExchangeAnswer.js'

/** One request as it goes to one backend server. */
export interface ExchangeOptions {
  agent: BackendAgent
  protocol: Pick<RoutedProtocol, 'readAnswer'>
  clock: Clock
  address: string
  method: string
  /** Path and query, as the client sent them. */
  path: string
  /** Names and values by turns. */
  headers: readonly string[]
  body: Buffer | undefined
  requestId: string | undefined
  /** Milliseconds within which a new connection must be up. */
  connectMs: number
  /** Ends the exchange and its connection. */
  signal: AbortSignal
  /** Takes what the head of an answer says, whatever becomes of the answer. */
  onHead?: (facts: AnswerFacts) => void
}

/**
 * Sends one request and resolves with the checked head of its answer. Rejects with ATTEMPT_FAILED_NOT_RUN when no byte
 * left, BACKEND_REFUSED when the server says that it did not run it, ATTEMPT_FAILED_UNKNOWN for everything else.
 */
export function openExchange (opts: ExchangeOptions): Promise<ExchangeAnswer> {
  return new Promise((resolve, reject) => {
    const { host, port } = parseAddress(opts.address)
    const request = http.request({ host, port, agent: opts.agent, method: opts.method, path: opts.path, headers: [...opts.headers], setHost: false })
    const connection = watchConnection(opts, request)
    let answer: ExchangeAnswer | undefined
    const finish = (): void => {
      connection.stop()
      opts.signal.removeEventListener('abort', abort)
    }
    const abort = (): void => {
      if (answer) answer.cut()
      else request.destroy()
      finish()
      reject(createFailure(connection.isUp(), 'The attempt was stopped', opts.signal.reason))
    }
    request.on('error', (cause) => {
      finish()
      reject(createFailure(connection.isUp(), cause.message, cause))
    })
    request.once('response', (message) => {
      connection.stop()
      answer = new ExchangeAnswer({ request, message, facts: opts.protocol.readAnswer(message.statusCode ?? 0, message.headers) })
      opts.onHead?.(answer.facts)
      const problem = checkHead(answer.facts, opts.requestId)
      message.once('close', finish)
      if (!problem) {
        resolve(answer)
        return
      }
      if (problem.ran === Ran.NO) answer.discard()
      else answer.cut()
      reject(problem)
    })
    if (opts.signal.aborted) {
      abort()
      return
    }
    opts.signal.addEventListener('abort', abort, { once: true })
    request.end(opts.body)
  })
}

/** Knows whether the connection came up, and ends a request whose connection does not. */
function watchConnection (opts: ExchangeOptions, request: http.ClientRequest): { isUp: () => boolean, stop: () => void } {
  let up = false
  let cancel = (): void => undefined
  request.once('socket', (socket) => {
    up = !socket.connecting
    if (up) return
    cancel = opts.clock.setTimer(opts.connectMs, () => request.destroy(new Error(`No connection within ${opts.connectMs} ms`)))
    socket.once('connect', () => {
      up = true
      cancel()
    })
  })
  return { isUp: () => up, stop: () => cancel() }
}

function createFailure (wasUp: boolean, message: string, cause: unknown): PulleystackError {
  return new PulleystackError(wasUp ? 'ATTEMPT_FAILED_UNKNOWN' : 'ATTEMPT_FAILED_NOT_RUN', message, { cause })
}

function checkHead (facts: AnswerFacts, requestId: string | undefined): PulleystackError | undefined {
  if (requestId !== undefined && facts.requestId !== requestId) {
    return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The answer on the connection belongs to another request')
  }
  if (facts.notRun) return new PulleystackError('BACKEND_REFUSED', 'The server did not run the request', { ran: Ran.NO })
  if (!facts.signed) return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The answer does not bear the server\'s signature')
  return undefined
}
