import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'

export interface ServiceCall {
  attempt: string
  method: string
  /** Path and query, relative to the root of the service. */
  path: string
  headers: Record<string, string | string[]>
  /** The complete body, or a stream that can be read only once. */
  body: Buffer | Readable | undefined
}

export interface ServiceAnswer {
  status: number
  headers: IncomingHttpHeaders
  /** A buffer if the body was read completely first. */
  body: Readable | Buffer
}

/** Client for plain backend servers. Failed calls reject with a PulleystackError whose `ran` tells whether the server may have run the call. */
export abstract class ServiceClient {
  abstract call (address: string, call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>
}
