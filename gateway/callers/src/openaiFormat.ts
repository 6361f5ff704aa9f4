import { PulleystackError } from '@pulleystack/core.errors'
import * as z from 'zod'

const DEFAULT_MAX_TOKENS = 128
const MAX_TOKENS = 32_768
// Placeholder for a token's text in a pre-rendered chunk; must not occur in a model's name.
const TOKEN_PLACEHOLDER = '\u0000token\u0000'

const textSchema = z.union([z.string(), z.array(z.object({ type: z.literal('text'), text: z.string() }))])
const commonFields = {
  model: z.string().min(1).max(200),
  max_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
  max_completion_tokens: z.number().int().min(1).max(MAX_TOKENS).optional(),
  stream: z.boolean().optional(),
}
const chatSchema = z.object({ ...commonFields, messages: z.array(z.object({ role: z.string().min(1).max(40), content: textSchema })).min(1).max(10_000) })
const completionSchema = z.object({ ...commonFields, prompt: z.string().min(1) })

/** A parsed request to either of the completion endpoints. */
export interface CompletionRequest {
  kind: 'chat' | 'text'
  model: string
  prompt: string
  maxTokens: number
  stream: boolean
}

export type CompletionKind = CompletionRequest['kind']

/** Parses the body of a completion request. Throws BAD_BODY with the name of the invalid field. */
export function parseCompletionRequest (kind: CompletionKind, body: Record<string, unknown>): CompletionRequest {
  if (kind === 'chat') {
    const chat = parseBody(chatSchema, body)
    return { kind, prompt: chat.messages.map((message) => `${message.role}: ${readText(message.content)}`).join('\n'), ...readCommonFields(chat) }
  }
  const completion = parseBody(completionSchema, body)
  return { kind, prompt: completion.prompt, ...readCommonFields(completion) }
}

function readCommonFields (body: { model: string, max_tokens?: number, max_completion_tokens?: number, stream?: boolean }) {
  return { model: body.model, maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS, stream: body.stream ?? false }
}

function readText (content: z.infer<typeof textSchema>): string {
  return typeof content === 'string' ? content : content.map((part) => part.text).join('')
}

function parseBody<T> (schema: z.ZodType<T>, body: unknown): T {
  const parsed = schema.safeParse(body)
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  const field = issue?.path.join('.') ?? ''
  throw new PulleystackError('BAD_BODY', `Field "${field}" is invalid: ${issue?.message}`, { field })
}

/** Fields that are the same in all chunks of a response. */
export interface CompletionMetadata {
  id: string
  created: number
  model: string
  kind: CompletionKind
}

/** Creates a function that renders one token as an event. The common parts are rendered only once. */
export function createChunkRenderer (metadata: CompletionMetadata): (text: string) => string {
  const [before, after] = renderChunk(metadata, TOKEN_PLACEHOLDER, null).split(JSON.stringify(TOKEN_PLACEHOLDER)) as [string, string]
  return (text) => before + JSON.stringify(text) + after
}

/** Renders the last events of a stream, which tell the client that it is complete. */
export function renderStreamEnd (metadata: CompletionMetadata, finish: string): string {
  return `${renderChunk(metadata, '', finish)}data: [DONE]\n\n`
}

function renderChunk (metadata: CompletionMetadata, text: string, finish: string | null): string {
  const choice = metadata.kind === 'chat'
    ? { index: 0, delta: text === '' ? {} : { content: text }, finish_reason: finish }
    : { index: 0, text, finish_reason: finish }
  const object = metadata.kind === 'chat' ? 'chat.completion.chunk' : 'text_completion'
  return `data: ${JSON.stringify({ id: metadata.id, object, created: metadata.created, model: metadata.model, choices: [choice] })}\n\n`
}

/** Builds the body of a response that isn't streamed. */
export function renderCompletion (metadata: CompletionMetadata, text: string, finish: string, tokens: number): object {
  const choice = metadata.kind === 'chat'
    ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: finish }
    : { index: 0, text, finish_reason: finish }
  const object = metadata.kind === 'chat' ? 'chat.completion' : 'text_completion'
  return { id: metadata.id, object, created: metadata.created, model: metadata.model, choices: [choice], usage: { completion_tokens: tokens } }
}
