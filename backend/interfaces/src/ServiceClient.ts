import type { IncomingHttpHeaders } from 'node:http'
import type { Readable } from 'node:stream'

export interface ServiceCall {
  attempt: string
  method: string
  /** Path and query below the service's root. */
  path: string
  headers: Record<string, string | string[]>
  /** Whole body, or a stream that can be read once. */
  body: Buffer | Readable | undefined
}

export interface ServiceAnswer {
  status: number
  headers: IncomingHttpHeaders
  /** Whole where it was held until it had all come. */
  body: Readable | Buffer
}

/** One plain backend server. A rejected call is a PulleystackError whose `ran` says whether the server may have acted. */
export abstract class ServiceClient {
  abstract call (address: string, call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>
}
