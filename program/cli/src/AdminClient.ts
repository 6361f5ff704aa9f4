import http from 'node:http'
import https from 'node:https'
import { text } from 'node:stream/consumers'
import { parseAddress } from '@pulleystack/core.addresses'
import { PulleystackError, parseErrorBody } from '@pulleystack/core.errors'
import type { CommandContext } from './Command.js'

const REQUEST_TIMEOUT_MS = 10_000
const DEFAULT_ADDRESS = '127.0.0.1:7080'

/** Options of every command that connects to the admin API. */
export interface ConnectionOptions {
  /** Comma-separated list of addresses, tried in turn. */
  address?: string
  key?: string
  tls?: boolean
}

/** Client of the admin API; sends each request to the first address that responds. */
export class AdminClient {
  private readonly addresses: string[]
  private readonly key: string

  constructor (context: CommandContext, private readonly opts: ConnectionOptions) {
    this.addresses = (opts.address ?? context.environment.PULLEYSTACK_ADDRESS ?? DEFAULT_ADDRESS).split(',')
    this.key = opts.key ?? context.environment.PULLEYSTACK_KEY ?? ''
    if (this.key === '') throw new PulleystackError('USAGE', 'No operator key specified', { hint: 'Use --key or set PULLEYSTACK_KEY.' })
  }

  get (path: string, params: Record<string, string | undefined> = {}): Promise<unknown> {
    return this.send('GET', path, params)
  }

  post (path: string, body: unknown): Promise<unknown> {
    return this.send('POST', path, {}, JSON.stringify(body))
  }

  remove (path: string, params: Record<string, string | undefined>): Promise<unknown> {
    return this.send('DELETE', path, params)
  }

  private async send (method: string, path: string, params: Record<string, string | undefined>, body?: string): Promise<unknown> {
    let lastError: PulleystackError | undefined
    for (const address of this.addresses) {
      const response = await this.sendTo(address, method, `${path}?${renderParams(params)}`, body).catch((cause: Error) => {
        lastError = new PulleystackError('INSTANCE_UNREACHABLE', `${address} did not respond: ${cause.message}`, { hint: 'Use --address to try other addresses.' })
      })
      if (!response) continue
      if (response.status === 200) return response.value
      throw parseErrorBody(response.value) ?? new PulleystackError('INSTANCE_UNREACHABLE', `${address} responded with status ${response.status}`)
    }
    throw lastError ?? new PulleystackError('USAGE', 'No address specified')
  }

  private sendTo (address: string, method: string, path: string, body: string | undefined): Promise<{ status: number, value: unknown }> {
    const headers: http.OutgoingHttpHeaders = { 'authorization': `Bearer ${this.key}`, 'content-type': 'application/json' }
    const target = { ...parseAddress(address), method, path, headers, timeout: REQUEST_TIMEOUT_MS, agent: false }
    return new Promise((resolve, reject) => {
      const request = this.opts.tls ? https.request(target) : http.request(target)
      request.on('error', reject)
      request.on('timeout', () => request.destroy(new Error('timed out')))
      request.on('response', (response) => void readResponse(response).then(resolve, reject))
      request.end(body)
    })
  }
}

function renderParams (params: Record<string, string | undefined>): string {
  const defined = Object.entries(params).filter((it): it is [string, string] => it[1] !== undefined)
  return new URLSearchParams(defined).toString()
}

async function readResponse (response: http.IncomingMessage): Promise<{ status: number, value: unknown }> {
  return { status: response.statusCode ?? 0, value: JSON.parse(await text(response) || 'null') as unknown }
}
