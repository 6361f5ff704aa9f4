import type http from 'node:http'
import { PulleystackError } from '@pulleystack/core.errors'
import { BodyCollector } from './BodyCollector.js'
import type { Holding } from './HeldBytes.js'

export interface ReadBodyOptions {
  /** Drops what was read as soon as it is aborted. */
  signal?: AbortSignal
  /** Counts the memory that the body takes. */
  holding?: Pick<Holding, 'add'>
}

/**
 * Reads a whole body. Throws BODY_TOO_LARGE as soon as it exceeds `maxBytes`, BODY_TOO_SLOW when the request ends early or the signal is aborted, and what
 * the holding throws.
 */
export async function readBody (request: http.IncomingMessage, maxBytes: number, { signal, holding }: ReadBodyOptions = {}): Promise<Buffer> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    request.resume()
    throw createBodyTooLargeError(maxBytes)
  }
  const collector = new BodyCollector(holding)
  const clear = (): void => collector.clear()
  signal?.addEventListener('abort', clear, { once: true })
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      if (signal?.aborted) break
      if (collector.bytes + chunk.length > maxBytes) throw createBodyTooLargeError(maxBytes)
      collector.add(chunk)
    }
    if (signal?.aborted) throw new PulleystackError('BODY_TOO_SLOW', 'The request ended before its body was complete')
    return collector.takeBody()
  } catch (thrown) {
    collector.clear()
    // Unread bytes would reset the connection, and with it the response.
    request.resume()
    if (thrown instanceof PulleystackError) throw thrown
    throw new PulleystackError('BODY_TOO_SLOW', 'The connection was closed before the request body was complete', { cause: thrown })
  } finally {
    signal?.removeEventListener('abort', clear)
  }
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
