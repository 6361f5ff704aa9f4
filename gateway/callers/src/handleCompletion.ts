import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import { cutResponse, HeaderNames, type HeldBytes, parseJsonBody, readHeldBody } from '@pulleystack/gateway.http'
import type { DemandMeter } from '@pulleystack/placement.demand'
import type { GenerateEnd, TokenSink } from '@pulleystack/backend.interfaces'
import type { StoredOutcome } from '@pulleystack/routing.claims'
import type { GenerationDispatcher, GenerationRequest } from '@pulleystack/routing.dispatch'
import {
  createChunkRenderer,
  parseCompletionRequest,
  renderCompletion,
  renderStreamEnd,
  type CompletionKind,
  type CompletionMetadata,
  type CompletionRequest,
} from './openaiFormat.js'
import { computeDeadline, isRepeatable, type RequestContext } from './RequestContext.js'
import { resolveModel, type ModelTarget } from './resolveTarget.js'
import { runOnce, type RunOnceOptions } from './runOnce.js'
import type { ConfigIndex } from '@pulleystack/config.replica'

export interface CompletionOptions extends RunOnceOptions {
  index: ConfigIndex
  generations: GenerationDispatcher
  meter: DemandMeter
  maxBodyBytes: number
  held: HeldBytes
  /** Checks rate limits, or relays the request to an instance that serves the service. Returns true if that instance answered it. */
  admit: (context: RequestContext, service: ModelTarget['service'], body: Buffer) => Promise<boolean>
}

type GenerationRunner = (sink: TokenSink) => Promise<GenerateEnd>

/** Handles POST /v1/chat/completions and POST /v1/completions. */
export async function handleCompletion (opts: CompletionOptions, context: RequestContext, kind: CompletionKind): Promise<void> {
  const body = await readHeldBody(context.request, opts.maxBodyBytes, opts.held)
  const completion = parseCompletionRequest(kind, parseJsonBody(body))
  const target = resolveModel(opts.index, context.caller, completion.model)
  if (await opts.admit(context, target.service, body)) return
  const work = buildWork(context, completion, target)
  opts.meter.add(work.items[0] ?? '', completion.maxTokens)
  const metadata: CompletionMetadata = { id: `cmpl-${context.id}`, created: Math.floor(opts.clock.readWallTime() / 1000), model: completion.model, kind }
  const key = context.request.headers[HeaderNames.IDEMPOTENCY]
  if (work.repeatable || typeof key !== 'string') {
    checkIdempotencyKey(target, work)
    await runWithoutKey(opts, context, completion, work, metadata)
    return
  }
  await runWithKey(opts, context, { completion, work, metadata, key, body })
}

function buildWork (context: RequestContext, completion: CompletionRequest, target: ModelTarget): GenerationRequest {
  const { service } = target
  return {
    request: context.id,
    partner: context.caller.partner,
    service: service.name,
    serviceClass: service.spec.class,
    deadline: computeDeadline(context, service.spec),
    repeatable: isRepeatable(context, service.spec, context.url.pathname),
    signal: context.signal,
    items: target.items,
    adapter: target.adapter,
    prompt: completion.prompt,
    maxTokens: completion.maxTokens,
  }
}

function checkIdempotencyKey (target: ModelTarget, work: GenerationRequest): void {
  if (work.repeatable || !target.service.spec.requireKey) return
  throw new PulleystackError('KEY_MISSING', `Service "${target.service.name}" requires an Idempotency-Key for non-repeatable requests`, { field: 'idempotency-key' })
}

async function runWithoutKey (
  opts: CompletionOptions,
  context: RequestContext,
  completion: CompletionRequest,
  work: GenerationRequest,
  metadata: CompletionMetadata,
): Promise<void> {
  const run: GenerationRunner = (sink) => opts.generations.run(work, sink)
  if (completion.stream) await streamResponse(context, metadata, run)
  else sendOutcome(context, await collectResponse(metadata, run))
}

async function runWithKey (
  opts: CompletionOptions,
  context: RequestContext,
  keyed: { completion: CompletionRequest, work: GenerationRequest, metadata: CompletionMetadata, key: string, body: Buffer },
): Promise<void> {
  const { completion, work, metadata } = keyed
  const keyedRequest = {
    request: context.id,
    partner: work.partner,
    caller: context.caller.name,
    key: keyed.key,
    method: 'POST',
    path: context.url.pathname,
    body: keyed.body,
    deadline: work.deadline,
    signal: context.signal,
  }
  // Not cancelled when the caller disconnects: a retry with the same key needs the outcome.
  const detachedWork = { ...work, signal: new AbortController().signal }
  const run: GenerationRunner = (sink) => opts.generations.run(detachedWork, sink)
  let wasStreamed = false
  const outcome = await runOnce(opts, keyedRequest, async () => {
    if (!completion.stream) return collectResponse(metadata, run)
    wasStreamed = true
    return streamResponse(context, metadata, run, true)
  })
  if (wasStreamed) return
  if (completion.stream) replayStream(context, outcome)
  else sendOutcome(context, outcome)
}

async function collectResponse (metadata: CompletionMetadata, run: GenerationRunner): Promise<StoredOutcome> {
  let text = ''
  const end = await run((token) => {
    text += token.text
  })
  return { status: 200, contentType: 'application/json', body: JSON.stringify(renderCompletion(metadata, text, end.finish, end.tokens)) }
}

function sendOutcome (context: RequestContext, outcome: StoredOutcome): void {
  context.response.writeHead(outcome.status, {
    'content-type': outcome.contentType,
    'content-length': Buffer.byteLength(outcome.body ?? ''),
    [HeaderNames.REQUEST]: context.id,
  })
  context.response.end(outcome.body)
}

/** Streams tokens as server-sent events. A failed stream ends with an error event and a closed connection, never with [DONE]. */
async function streamResponse (context: RequestContext, metadata: CompletionMetadata, run: GenerationRunner, mustRecord = false): Promise<StoredOutcome> {
  const { response } = context
  const renderToken = createChunkRenderer(metadata)
  let recorded = ''
  const write = (text: string): void | Promise<void> => {
    if (mustRecord) recorded += text
    if (!response.destroyed && !response.write(text)) return waitForDrain(response)
  }
  try {
    const end = await run((token) => {
      if (!response.headersSent && !response.destroyed) response.writeHead(200, buildStreamHeaders(context))
      return write(renderToken(token.text))
    })
    await write(renderStreamEnd(metadata, end.finish))
    response.end()
    return { status: 200, contentType: 'text/event-stream', body: recorded }
  } catch (thrown) {
    const error = convertToError(thrown)
    if (response.headersSent) await endBrokenStream(context, error)
    throw error
  }
}

function buildStreamHeaders (context: RequestContext) {
  return { 'content-type': 'text/event-stream', 'cache-control': 'no-store', [HeaderNames.REQUEST]: context.id }
}

function endBrokenStream (context: RequestContext, error: PulleystackError): Promise<void> {
  return new Promise((resolve) => {
    const closeConnection = (): void => {
      cutResponse(context.response)
      resolve()
    }
    context.response.write(`event: error\ndata: ${JSON.stringify(error.renderBody(context.id))}\n\n`, closeConnection)
    if (context.response.destroyed) closeConnection()
  })
}

function replayStream (context: RequestContext, outcome: StoredOutcome): void {
  if (outcome.contentType !== 'text/event-stream') {
    sendOutcome(context, outcome)
    return
  }
  context.response.writeHead(200, buildStreamHeaders(context))
  context.response.end(outcome.body)
}

function waitForDrain (response: RequestContext['response']): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      response.off('drain', finish)
      response.off('close', finish)
      resolve()
    }
    response.on('drain', finish)
    response.on('close', finish)
  })
}
