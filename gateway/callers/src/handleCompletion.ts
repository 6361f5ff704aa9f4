import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import { Headers, parseJsonBody, readBody } from '@pulleystack/gateway.http'
import type { DemandMeter } from '@pulleystack/placement.demand'
import type { GenerateEnd, TokenSink } from '@pulleystack/backend.interfaces'
import type { KeptOutcome } from '@pulleystack/routing.claims'
import type { GenerationDispatcher, GenerationWork } from '@pulleystack/routing.dispatch'
import { createChunkRenderer, parseCompletion, renderEnd, renderWhole, type CompletionFrame, type CompletionKind, type CompletionRequest } from './openaiFormat.js'
import { readDeadline, readRepeatable, type RequestContext } from './RequestContext.js'
import { resolveModel, type ModelTarget } from './resolveTarget.js'
import { runOnce, type RunOnceOptions } from './runOnce.js'
import type { ConfigIndex } from '@pulleystack/config.replica'

export interface CompletionOptions extends RunOnceOptions {
  index: ConfigIndex
  generations: GenerationDispatcher
  meter: DemandMeter
  maxBodyBytes: number
  /** Refuses or relays a request before it costs anything; true when it was answered elsewhere. */
  admit: (context: RequestContext, service: ModelTarget['service'], body: Buffer) => Promise<boolean>
}

type RunGeneration = (sink: TokenSink) => Promise<GenerateEnd>

/** Answers POST /v1/chat/completions and /v1/completions. */
export async function handleCompletion (opts: CompletionOptions, context: RequestContext, kind: CompletionKind): Promise<void> {
  const body = await readBody(context.request, opts.maxBodyBytes)
  const completion = parseCompletion(kind, parseJsonBody(body))
  const target = resolveModel(opts.index, context.caller, completion.model)
  if (await opts.admit(context, target.service, body)) return
  const work = buildWork(context, completion, target)
  opts.meter.add(work.items[0] ?? '', completion.maxTokens)
  const frame: CompletionFrame = { id: `cmpl-${context.id}`, created: Math.floor(opts.clock.readWallTime() / 1000), model: completion.model, kind }
  const key = context.request.headers[Headers.IDEMPOTENCY]
  if (work.repeatable || typeof key !== 'string') {
    checkKeyGiven(target, work)
    await runPlain(opts, context, completion, work, frame)
    return
  }
  await runKeyed(opts, context, { completion, work, frame, key, body })
}

function buildWork (context: RequestContext, completion: CompletionRequest, target: ModelTarget): GenerationWork {
  const { service } = target
  return {
    request: context.id,
    partner: context.caller.partner,
    service: service.name,
    serviceClass: service.spec.class,
    deadline: readDeadline(context, service.spec),
    repeatable: readRepeatable(context, service.spec, context.url.pathname),
    signal: context.signal,
    items: target.items,
    adapter: target.adapter,
    prompt: completion.prompt,
    maxTokens: completion.maxTokens,
  }
}

function checkKeyGiven (target: ModelTarget, work: GenerationWork): void {
  if (work.repeatable || !target.service.spec.requireKey) return
  throw new PulleystackError('KEY_MISSING', `Service "${target.service.name}" asks for an Idempotency-Key on work that may not be repeated`, { field: 'idempotency-key' })
}

async function runPlain (
  opts: CompletionOptions,
  context: RequestContext,
  completion: CompletionRequest,
  work: GenerationWork,
  frame: CompletionFrame,
): Promise<void> {
  const run: RunGeneration = (sink) => opts.generations.run(work, sink)
  if (completion.stream) await streamAnswer(context, frame, run)
  else sendWhole(context, await collectWhole(frame, run))
}

async function runKeyed (
  opts: CompletionOptions,
  context: RequestContext,
  keyed: { completion: CompletionRequest, work: GenerationWork, frame: CompletionFrame, key: string, body: Buffer },
): Promise<void> {
  const { completion, work, frame } = keyed
  const once = {
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
  // A caller that goes away must not stop work that its repeat will ask for.
  const lasting = { ...work, signal: new AbortController().signal }
  const run: RunGeneration = (sink) => opts.generations.run(lasting, sink)
  let streamed = false
  const outcome = await runOnce(opts, once, async () => {
    if (!completion.stream) return collectWhole(frame, run)
    streamed = true
    return streamAnswer(context, frame, run, true)
  })
  if (streamed) return
  if (completion.stream) replayStream(context, outcome)
  else sendWhole(context, outcome)
}

async function collectWhole (frame: CompletionFrame, run: RunGeneration): Promise<KeptOutcome> {
  let text = ''
  const end = await run((token) => {
    text += token.text
  })
  return { status: 200, contentType: 'application/json', body: JSON.stringify(renderWhole(frame, text, end.finish, end.tokens)) }
}

function sendWhole (context: RequestContext, outcome: KeptOutcome): void {
  context.response.writeHead(outcome.status, {
    'content-type': outcome.contentType,
    'content-length': Buffer.byteLength(outcome.body ?? ''),
    [Headers.REQUEST]: context.id,
  })
  context.response.end(outcome.body)
}

/** Sends pieces as they come. An answer that breaks ends with an error event and a cut connection, never with [DONE]. */
async function streamAnswer (context: RequestContext, frame: CompletionFrame, run: RunGeneration, keep = false): Promise<KeptOutcome> {
  const { response } = context
  const renderToken = createChunkRenderer(frame)
  let kept = ''
  const write = (text: string): void | Promise<void> => {
    if (keep) kept += text
    if (!response.destroyed && !response.write(text)) return waitForDrain(response)
  }
  try {
    const end = await run((token) => {
      if (!response.headersSent && !response.destroyed) response.writeHead(200, buildStreamHeaders(context))
      return write(renderToken(token.text))
    })
    await write(renderEnd(frame, end.finish))
    response.end()
    return { status: 200, contentType: 'text/event-stream', body: kept }
  } catch (thrown) {
    const error = convertToError(thrown)
    if (response.headersSent) await endBroken(context, error)
    throw error
  }
}

function buildStreamHeaders (context: RequestContext) {
  return { 'content-type': 'text/event-stream', 'cache-control': 'no-store', [Headers.REQUEST]: context.id }
}

function endBroken (context: RequestContext, error: PulleystackError): Promise<void> {
  return new Promise((resolve) => {
    const cut = (): void => {
      context.response.destroy()
      resolve()
    }
    context.response.write(`event: error\ndata: ${JSON.stringify(error.renderBody(context.id))}\n\n`, cut)
    if (context.response.destroyed) cut()
  })
}

function replayStream (context: RequestContext, outcome: KeptOutcome): void {
  if (outcome.contentType !== 'text/event-stream') {
    sendWhole(context, outcome)
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
