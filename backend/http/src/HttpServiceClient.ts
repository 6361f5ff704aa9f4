import http from 'node:http'
import { Readable } from 'node:stream'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { ServiceClient, type ServiceAnswer, type ServiceCall } from '@pulleystack/backend.interfaces'
import { openExchange } from './exchange.js'
import { ATTEMPT_HEADER, RAN_HEADER } from './wire.js'

/** Client for plain services over HTTP. It rejects responses without the id of the attempt, which belong to another request. */
export class HttpServiceClient extends ServiceClient {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 2_000, scheduling: 'lifo' })

  close (): void {
    this.agent.destroy()
  }

  async call (address: string, call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer> {
    const headers: http.OutgoingHttpHeaders = { ...call.headers, [ATTEMPT_HEADER]: call.attempt }
    if (Buffer.isBuffer(call.body)) headers['content-length'] = call.body.length
    const opts = { address, method: call.method, path: call.path, headers, agent: this.agent, signal }
    const response = await openExchange(opts, (request) => writeBody(request, call.body))
    if (response.headers[ATTEMPT_HEADER] !== call.attempt) {
      response.destroy()
      throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `The response from ${address} does not belong to attempt ${call.attempt}`, { ran: Ran.UNKNOWN })
    }
    if (response.statusCode === 503 && response.headers[RAN_HEADER] === Ran.NO) {
      response.resume()
      throw new PulleystackError('BACKEND_REFUSED', `${address} rejected the call without running it`, { ran: Ran.NO })
    }
    return { status: response.statusCode ?? 502, headers: response.headers, body: response }
  }
}

function writeBody (request: http.ClientRequest, body: Buffer | Readable | undefined): void {
  if (!(body instanceof Readable)) {
    request.end(body)
    return
  }
  body.on('error', (cause) => request.destroy(cause))
  body.pipe(request)
}
