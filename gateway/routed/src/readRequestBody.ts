import type http from 'node:http'
import { waitForReads } from '@pulleystack/core.listeners'
import { readBody, type Holding } from '@pulleystack/gateway.http'
import { waitUnlessAborted } from './RequestAborter.js'

export interface BodyOptions {
  signal: AbortSignal
  /** Counts the memory that the body takes until the request ends. */
  holding: Holding
}

/** Reads the body, then waits for pending reads, since a close behind a large body is noticed only after the body has been consumed. */
export async function readRequestBody (request: http.IncomingMessage, limitBytes: number, { signal, holding }: BodyOptions): Promise<Buffer | undefined> {
  if (!hasBody(request)) return undefined
  const body = await waitUnlessAborted(signal, readBody(request, limitBytes, { signal, holding }))
  holding.keep()
  await waitUnlessAborted(signal, waitForReads())
  return body
}

export function hasBody (request: http.IncomingMessage): boolean {
  return request.headers['content-length'] !== undefined || request.headers['transfer-encoding'] !== undefined
}
