import type http from 'node:http'
import type { HeldBytes } from './HeldBytes.js'
import { readBody } from './readBody.js'

/** Reads a whole body, whose bytes are counted until the request has ended. Throws what `readBody` throws, and OVERLOADED if there is no room for them. */
export async function readHeldBody (request: http.IncomingMessage, maxBytes: number, held: HeldBytes): Promise<Buffer> {
  const dropping = new AbortController()
  const holding = held.open((error) => dropping.abort(error))
  const response = new Promise<never>((_, reject) => dropping.signal.addEventListener('abort', () => reject(dropping.signal.reason as Error), { once: true }))
  request.socket.once('close', () => holding.release())
  request.once('close', () => holding.release())
  const body = await Promise.race([readBody(request, maxBytes, { signal: dropping.signal, holding }), response])
  holding.keep()
  return body
}
