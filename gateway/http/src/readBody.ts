import type http from 'node:http'
import { PulleystackError } from '@pulleystack/core.errors'

/** Reads a whole body. Throws BODY_TOO_LARGE as soon as it exceeds `maxBytes`, BODY_TOO_SLOW when the request ends early. */
export async function readBody (request: http.IncomingMessage, maxBytes: number): Promise<Buffer> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) throw createBodyTooLargeError(maxBytes)
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) throw createBodyTooLargeError(maxBytes)
      chunks.push(chunk)
    }
  } catch (thrown) {
    // Unread bytes would reset the connection, and with it the response.
    request.resume()
    if (thrown instanceof PulleystackError) throw thrown
    throw new PulleystackError('BODY_TOO_SLOW', 'The connection was closed before the request body was complete', { cause: thrown })
  }
  return Buffer.concat(chunks)
}

/** Parses a body as a JSON object; throws BAD_BODY if it is anything else. */
export function parseJsonBody (body: Buffer): Record<string, unknown> {
  let value: unknown
  try {
    value = JSON.parse(body.toString())
  } catch (cause) {
    throw new PulleystackError('BAD_BODY', 'The body is not valid JSON', { cause, hint: 'Send a JSON object with content-type application/json.' })
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) throw new PulleystackError('BAD_BODY', 'The body must be a JSON object')
  return value as Record<string, unknown>
}

function createBodyTooLargeError (maxBytes: number): PulleystackError {
  return new PulleystackError('BODY_TOO_LARGE', `The body is larger than ${maxBytes} bytes`)
}
