import http from 'node:http'
import { StringDecoder } from 'node:string_decoder'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import { EngineClient, type EngineInventory, type EngineOrder, type EngineReport, type GenerateCall, type GenerateEnd, type TokenSink } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'
import { exchange, openExchange, parseJson } from './exchange.js'
import { Paths, type GenerateLine } from './wire.js'

const TIMEOUT_MS = 2_000
const MAX_LINE_CHARACTERS = 1 << 20

/** Client for model engines over HTTP. Generated tokens arrive as lines of JSON. */
export class HttpEngineClient extends EngineClient {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 2_000, scheduling: 'lifo' })

  close (): void {
    this.agent.destroy()
  }

  generate (address: string, call: GenerateCall, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd> {
    return this.streamTokens(address, Paths.GENERATE, { attempt: call.attempt, body: JSON.stringify(call), sink, signal })
  }

  resume (address: string, attempt: string, offset: number, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd> {
    return this.streamTokens(address, Paths.RESUME, { attempt, body: JSON.stringify({ attempt, offset }), sink, signal })
  }

  async cancel (address: string, attempt: string): Promise<void> {
    const body = JSON.stringify({ attempt })
    await exchange({ address, method: 'POST', path: Paths.CANCEL, body, agent: this.agent, timeoutMs: TIMEOUT_MS }).catch(() => undefined)
  }

  async readReport (address: string, afterSeq: number, waitMs: number, signal?: AbortSignal): Promise<Result<EngineReport, PulleystackError>> {
    return this.readJson<EngineReport>(address, `${Paths.REPORT}?after=${afterSeq}&wait=${waitMs}`, waitMs + TIMEOUT_MS, signal)
  }

  async readInventory (address: string): Promise<Result<EngineInventory, PulleystackError>> {
    return this.readJson<EngineInventory>(address, Paths.INVENTORY, TIMEOUT_MS)
  }

  async sendOrder (address: string, order: EngineOrder): Promise<Result<void, PulleystackError>> {
    try {
      const body = JSON.stringify(order)
      const answer = await exchange({ address, method: 'POST', path: Paths.ORDERS, body, agent: this.agent, timeoutMs: TIMEOUT_MS, resetOnTimeout: true })
      if (answer.status === 202) return ok(undefined)
      const ran = answer.status === 409 ? Ran.NO : Ran.UNKNOWN
      return err(new PulleystackError('ORDER_REFUSED', `${address} answered an order with status ${answer.status}: ${answer.body.toString().slice(0, 200)}`, { ran }))
    } catch (thrown) {
      return err(convertToError(thrown))
    }
  }

  private async readJson<T> (address: string, path: string, timeoutMs: number, signal?: AbortSignal): Promise<Result<T, PulleystackError>> {
    try {
      const answer = await exchange({ address, method: 'GET', path, agent: this.agent, timeoutMs, signal })
      if (answer.status !== 200) return err(new PulleystackError('BACKEND_REFUSED', `${address} responded to ${path} with status ${answer.status}`))
      return ok(parseJson<T>(answer.body))
    } catch (thrown) {
      return err(convertToError(thrown))
    }
  }

  private async streamTokens (
    address: string,
    path: string,
    opts: { attempt: string, body: string, sink: TokenSink, signal: AbortSignal },
  ): Promise<GenerateEnd> {
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(opts.body) }
    const exchangeOpts = { address, method: 'POST', path, headers, agent: this.agent, signal: opts.signal }
    const response = await openExchange(exchangeOpts, (request) => request.end(opts.body))
    if (response.statusCode !== 200) throw await createRejectionError(address, response)
    return readTokens(address, opts.attempt, response, opts.sink)
  }
}

async function createRejectionError (address: string, response: http.IncomingMessage): Promise<PulleystackError> {
  const status = response.statusCode ?? 0
  // A rejection names no attempt, so that a duplicate on the same connection would pass for the response to the next one.
  response.destroy()
  // Engines send these statuses only before they start the request; with any other it may have run.
  const ran = status === 409 || status === 429 || status === 503 || status === 404 ? Ran.NO : Ran.UNKNOWN
  return new PulleystackError('BACKEND_REFUSED', `Engine ${address} responded with status ${status}`, { ran })
}

function createStreamError (address: string, cause: unknown): PulleystackError {
  if (cause instanceof PulleystackError) return cause
  const reason = cause instanceof Error ? cause.message : String(cause)
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The stream from engine ${address} failed: ${reason}`, { ran: Ran.UNKNOWN, cause })
}

/** Parses the stream line by line and passes each token to the sink as it arrives. */
function readTokens (address: string, attempt: string, response: http.IncomingMessage, sink: TokenSink): Promise<GenerateEnd> {
  const decoder = new StringDecoder('utf8')
  let partialLine = ''
  let end: GenerateEnd | undefined
  const handleLine = (line: string): void => {
    const item = JSON.parse(line) as GenerateLine
    if ('t' in item) applyBackpressure(response, sink({ attempt, offset: item.t[0], text: item.t[1] }))
    else if ('end' in item) end = { attempt, ...item.end }
    else if (item.attempt !== attempt) throw createMismatchError(item.attempt, attempt)
  }
  return new Promise((resolve, reject) => {
    const fail = (cause: unknown): void => {
      response.destroy()
      reject(createStreamError(address, cause))
    }
    response.on('data', (chunk: Buffer) => {
      const lines = (partialLine + decoder.write(chunk)).split('\n')
      partialLine = lines.pop() ?? ''
      try {
        if (partialLine.length > MAX_LINE_CHARACTERS) throw new Error('line is too long')
        lines.forEach(handleLine)
      } catch (cause) {
        fail(cause)
      }
    })
    response.on('error', fail)
    response.on('close', () => end ? resolve(end) : fail(new Error('stream ended early')))
    response.on('end', () => end && resolve(end))
  })
}

/** Pauses the stream until the sink is ready, which in turn slows down the engine. */
function applyBackpressure (response: http.IncomingMessage, settled: void | Promise<void>): void {
  if (!settled) return
  response.pause()
  void settled.finally(() => response.resume())
}

function createMismatchError (otherAttempt: string, attempt: string): PulleystackError {
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `Expected a response for attempt ${attempt}, but received one for attempt ${otherAttempt}`)
}
