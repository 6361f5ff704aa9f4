import type http from 'node:http'
import { PulleystackError } from '@pulleystack/core.errors'

/** Reads a whole body; fails as soon as it is known to be larger than allowed. */
export async function readBody (request: http.IncomingMessage, maxBytes: number): Promise<Buffer> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) throw createTooLarge(maxBytes)
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) throw createTooLarge(maxBytes)
      chunks.push(chunk)
    }
  } catch (thrown) {
    if (thrown instanceof PulleystackError) throw thrown
    throw new PulleystackError('BODY_TOO_SLOW', 'The request broke off before its end', { cause: thrown })
  }
  return Buffer.concat(chunks)
}

/** Parses a JSON object. */
export function parseJsonBody (body: Buffer): Record<string, unknown> {
  let value: unknown
  try {
    value = JSON.parse(body.toString())
  } catch (cause) {
    throw new PulleystackError('BAD_BODY', 'The body is not JSON', { cause, hint: 'Send a JSON object with content-type application/json.' })
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) throw new PulleystackError('BAD_BODY', 'The body must be a JSON object')
  return value as Record<string, unknown>
}

function createTooLarge (maxBytes: number): PulleystackError {
  return new PulleystackError('BODY_TOO_LARGE', `The body is larger than ${maxBytes} bytes`)
}
