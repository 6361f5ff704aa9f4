import http from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '@pulleystack/core.clock'

const MAX_IDLE_MS = 5_000
const KEEP_ALIVE_SHARE = 0.6
const PROBE_MS = 1_000

/** Since when a connection rests, what it had received by then and how long the server keeps it. */
interface Rest {
  since: number
  bytesRead: number
  maxIdleMs: number
}

/**
 * Keeps connections to backend servers for the next request. A connection that received bytes while it rested, or rested
 * for so long that the server may be about to close it, is never used again.
 */
export class BackendAgent extends http.Agent {
  private readonly rests = new WeakMap<Duplex, Rest>()
  private openedCount = 0

  constructor (private readonly clock: Clock) {
    super({ keepAlive: true, maxFreeSockets: 64, scheduling: 'lifo', noDelay: true })
  }

  /** Connections opened since the start. */
  get opened (): number {
    return this.openedCount
  }

  /** Node's agent calls this when a request has ended; false closes the connection. */
  override keepSocketAlive (socket: Duplex): boolean {
    const tcp = socket as Socket
    if (tcp.readableLength > 0 || tcp.writableLength > 0) return false
    const response = (tcp as Socket & { _httpMessage?: { res?: http.IncomingMessage } })._httpMessage?.res
    const maxIdleMs = readMaxIdle(response?.headers['keep-alive'])
    if (maxIdleMs <= 0) return false
    this.rests.set(tcp, { since: this.clock.readTime(), bytesRead: tcp.bytesRead, maxIdleMs })
    tcp.setKeepAlive(true, PROBE_MS)
    tcp.unref()
    return true
  }

  /** Node's agent calls this for every request; unfit connections go before it can choose one. */
  addRequest (request: http.ClientRequest, options: http.RequestOptions): void {
    const name = this.getName(options as Parameters<http.Agent['getName']>[0])
    for (const socket of [...this.freeSockets[name] ?? []]) {
      if (!this.isFit(socket)) socket.destroy()
    }
    // Destroyed connections leave the agent's list with their close event, which is too late for this request.
    const free = (this.freeSockets as Record<string, Socket[] | undefined>)[name]
    const fit = free?.filter((socket) => !socket.destroyed)
    if (fit && fit.length > 0) (this.freeSockets as Record<string, Socket[]>)[name] = fit
    else delete (this.freeSockets as Record<string, Socket[] | undefined>)[name]
    callAddRequest(this, request, options)
  }

  override createConnection (...args: Parameters<http.Agent['createConnection']>): ReturnType<http.Agent['createConnection']> {
    this.openedCount++
    return super.createConnection(...args)
  }

  private isFit (socket: Socket): boolean {
    const rest = this.rests.get(socket)
    if (!rest || socket.destroyed) return false
    if (socket.bytesRead !== rest.bytesRead || socket.readableLength > 0) return false
    return this.clock.readTime() - rest.since < rest.maxIdleMs
  }
}

// The type definitions leave out addRequest, which the documentation of custom agents builds on.
function callAddRequest (agent: http.Agent, request: http.ClientRequest, options: http.RequestOptions): void {
  const prototype = http.Agent.prototype as unknown as { addRequest: (request: http.ClientRequest, options: http.RequestOptions) => void }
  prototype.addRequest.call(agent, request, options)
}

function readMaxIdle (keepAlive: string | string[] | undefined): number {
  const seconds = /timeout=(\d+)/i.exec(String(keepAlive ?? ''))?.[1]
  if (seconds === undefined) return MAX_IDLE_MS
  return Math.min(MAX_IDLE_MS, Number(seconds) * 1000 * KEEP_ALIVE_SHARE)
}
