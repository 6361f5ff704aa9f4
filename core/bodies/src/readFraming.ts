import type http from 'node:http'

/** What determines where the body of a response ends. */
export const Framings = {
  LENGTH: 'length',
  CHUNKED: 'chunked',
  /** The close of the connection, so that a body that was broken off looks like a complete one. */
  CLOSE: 'close',
} as const
export type Framing = typeof Framings[keyof typeof Framings]

/** Returns the framing of a response to a request with the method; one that can't have a body has a length of 0. */
export function readFraming ({ headers, statusCode }: Pick<http.IncomingMessage, 'headers' | 'statusCode'>, method: string): Framing {
  if (method === 'HEAD' || statusCode === 204 || statusCode === 304) return Framings.LENGTH
  if (headers['transfer-encoding'] !== undefined) return /\bchunked$/i.test(headers['transfer-encoding']) ? Framings.CHUNKED : Framings.CLOSE
  return headers['content-length'] === undefined ? Framings.CLOSE : Framings.LENGTH
}
