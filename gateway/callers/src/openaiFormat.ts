import { PulleystackError } from '@pulleystack/core.errors'
import * as z from 'zod'

const DEFAULT_MAX_TOKENS = 128
const MAX_TOKENS = 32_768
// Stands for a token's text while a frame is rendered; no model's name can contain it.
const MARK = '\u0000token\u0000'

const textSchema = z.union([z.string(), z.array(z.object({ type: z.literal('text'), text: z.string() }))])
const commonFields = {
  model: z.string().min(1).max(200),
  max_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
  max_completion_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
  stream: z.boolean().optional(),
}
const chatSchema = z.object({ ...commonFields, messages: z.array(z.object({ role: z.string().min(1).max(40), content: textSchema })).min(1).max(10_000) })
const completionSchema = z.object({ ...commonFields, prompt: z.string().min(1) })

/** A completion request, the same for both paths. */
export interface CompletionRequest {
  kind: 'chat' | 'text'
  model: string
  prompt: string
  maxTokens: number
  stream: boolean
}

export type CompletionKind = CompletionRequest['kind']

/** Reads a request's body; the error names the field. */
export function parseCompletion (kind: CompletionKind, body: Record<string, unknown>): CompletionRequest {
  if (kind === 'chat') {
    const chat = checkBody(chatSchema, body)
    return { kind, prompt: chat.messages.map((message) => `${message.role}: ${readText(message.content)}`).join('\n'), ...readCommon(chat) }
  }
  const text = checkBody(completionSchema, body)
  return { kind, prompt: text.prompt, ...readCommon(text) }
}

function readCommon (body: { model: string, max_tokens?: number, max_completion_tokens?: number, stream?: boolean }) {
  return { model: body.model, maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS, stream: body.stream ?? false }
}

function readText (content: z.infer<typeof textSchema>): string {
  return typeof content === 'string' ? content : content.map((part) => part.text).join('')
}

function checkBody<T> (schema: z.ZodType<T>, body: unknown): T {
  const checked = schema.safeParse(body)
  if (checked.success) return checked.data
  const issue = checked.error.issues[0]
  const field = issue?.path.join('.') ?? ''
  throw new PulleystackError('BAD_BODY', `Field "${field}" is wrong: ${issue?.message}`, { field })
}

/** Names of an answer that stay the same over its pieces. */
export interface CompletionFrame {
  id: string
  created: number
  model: string
  kind: CompletionKind
}

/** Makes the function that renders one token's event; what is the same in all of them is rendered once. */
export function createChunkRenderer (frame: CompletionFrame): (text: string) => string {
  const [before, after] = renderChunk(frame, MARK, null).split(JSON.stringify(MARK)) as [string, string]
  return (text) => before + JSON.stringify(text) + after
}

/** The last events of a streamed answer; an answer without them is not whole. */
export function renderEnd (frame: CompletionFrame, finish: string): string {
  return `${renderChunk(frame, '', finish)}data: [DONE]\n\n`
}

function renderChunk (frame: CompletionFrame, text: string, finish: string | null): string {
  const choice = frame.kind === 'chat'
    ? { index: 0, delta: text === '' ? {} : { content: text }, finish_reason: finish }
    : { index: 0, text, finish_reason: finish }
  const object = frame.kind === 'chat' ? 'chat.completion.chunk' : 'text_completion'
  return `data: ${JSON.stringify({ id: frame.id, object, created: frame.created, model: frame.model, choices: [choice] })}\n\n`
}

/** A whole answer. */
export function renderWhole (frame: CompletionFrame, text: string, finish: string, tokens: number): object {
  const choice = frame.kind === 'chat'
    ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: finish }
    : { index: 0, text, finish_reason: finish }
  const object = frame.kind === 'chat' ? 'chat.completion' : 'text_completion'
  return { id: frame.id, object, created: frame.created, model: frame.model, choices: [choice], usage: { completion_tokens: tokens } }
}
