import http from 'node:http'
import type { NetConnectOpts, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { parseAddress } from '@pulleystack/core.addresses'
import type { Clock } from '@pulleystack/core.clock'
import { TcpConnector, type Connector } from './Connector.js'

const MAX_IDLE_MS = 5_000
// Part of the server's announced keep-alive timeout for which a connection is reused.
const KEEP_ALIVE_FRACTION = 0.6
const KEEP_ALIVE_PROBE_MS = 1_000
/** Bounds memory; a connection that failed as many requests is closed. */
const MAX_FAILED_REQUESTS = 128

/** Options of a request that is sent through this agent. */
export interface BackendRequestOptions extends http.RequestOptions {
  /** The request isn't sent on a connection on which the same id has failed before. */
  requestId?: string | undefined
}

/** State of a connection when it became idle. */
interface IdleState {
  since: number
  bytesRead: number
  /** Milliseconds for which the connection may be reused. */
  maxIdleMs: number
}

/**
 * Keeps connections to backend servers alive for later requests. A connection that received bytes while it was idle, or
 * was idle for so long that the server may be about to close it, is never reused. A request that failed on a connection is
 * not repeated there: a duplicate of the first response would pass for the response to the repetition, as both have the same id.
 */
export class BackendAgent extends http.Agent {
  private readonly idleStates = new WeakMap<Duplex, IdleState>()
  /** Ids of the requests that failed on each connection. */
  private readonly failedRequests = new WeakMap<Duplex, Set<string>>()
  private openedCount = 0

  constructor (private readonly clock: Clock, private readonly connector: Connector = new TcpConnector()) {
    super({ keepAlive: true, maxFreeSockets: 64, scheduling: 'lifo', noDelay: true })
  }

  /** Number of connections opened by this agent. */
  get openedConnections (): number {
    return this.openedCount
  }

  /** Called by Node's agent when a request has ended; returning false closes the connection. */
  override keepSocketAlive (socket: Duplex): boolean {
    const tcp = socket as Socket
    if (tcp.readableLength > 0 || tcp.writableLength > 0) return false
    if ((this.failedRequests.get(tcp)?.size ?? 0) >= MAX_FAILED_REQUESTS) return false
    const response = (tcp as Socket & { _httpMessage?: { res?: http.IncomingMessage } })._httpMessage?.res
    const maxIdleMs = readMaxIdleMs(response?.headers['keep-alive'])
    if (maxIdleMs <= 0) return false
    this.idleStates.set(tcp, { since: this.clock.readTime(), bytesRead: tcp.bytesRead, maxIdleMs })
    tcp.setKeepAlive(true, KEEP_ALIVE_PROBE_MS)
    tcp.unref()
    return true
  }

  /** Records that a request failed on a connection, so that it isn't repeated there. */
  recordFailure (socket: Duplex, requestId: string): void {
    const failed = this.failedRequests.get(socket)
    if (failed) failed.add(requestId)
    else this.failedRequests.set(socket, new Set([requestId]))
  }

  /** Called by Node's agent for every request; destroys the idle connections that must not be reused. */
  addRequest (request: http.ClientRequest, options: BackendRequestOptions): void {
    const name = this.getName(options as Parameters<http.Agent['getName']>[0])
    const idle = this.freeSockets[name] ?? []
    const reusable = idle.filter((socket) => this.isReusable(socket))
    const suitable = reusable.filter((socket) => !this.hasFailed(socket, options.requestId))
    const others = reusable.filter((socket) => !suitable.includes(socket))
    // The agent removes destroyed sockets only on their close event, after it has chosen one for this request.
    this.setIdle(name, suitable)
    for (const socket of idle) if (!reusable.includes(socket)) socket.destroy()
    callAddRequest(this, request, options)
    this.setIdle(name, [...others, ...this.freeSockets[name] ?? []])
  }

  private setIdle (name: string, sockets: Socket[]): void {
    const idle = this.freeSockets as Record<string, Socket[] | undefined>
    if (sockets.length > 0) idle[name] = sockets
    else delete idle[name]
  }

  private hasFailed (socket: Socket, requestId: string | undefined): boolean {
    return requestId !== undefined && this.failedRequests.get(socket)?.has(requestId) === true
  }

  override createConnection (...[opts]: Parameters<http.Agent['createConnection']>): Socket {
    this.openedCount++
    return this.connector.connect(opts as NetConnectOpts)
  }

  /** Closes the idle connections to an address. */
  closeIdle (address: string): void {
    const { host, port } = parseAddress(address)
    const name = this.getName({ host, port })
    for (const [key, sockets = []] of Object.entries(this.freeSockets)) {
      if (key === name || key.startsWith(`${name}:`)) sockets.forEach((socket) => socket.destroy())
    }
  }

  private isReusable (socket: Socket): boolean {
    const idle = this.idleStates.get(socket)
    if (!idle || socket.destroyed) return false
    if (socket.bytesRead !== idle.bytesRead || socket.readableLength > 0) return false
    return this.clock.readTime() - idle.since < idle.maxIdleMs
  }
}

// Node's documentation of custom agents uses addRequest, but its type definitions leave it out.
function callAddRequest (agent: http.Agent, request: http.ClientRequest, options: http.RequestOptions): void {
  const prototype = http.Agent.prototype as unknown as { addRequest: (request: http.ClientRequest, options: http.RequestOptions) => void }
  prototype.addRequest.call(agent, request, options)
}

function readMaxIdleMs (keepAlive: string | string[] | undefined): number {
  const seconds = /timeout=(\d+)/i.exec(String(keepAlive ?? ''))?.[1]
  if (seconds === undefined) return MAX_IDLE_MS
  return Math.min(MAX_IDLE_MS, Number(seconds) * 1000 * KEEP_ALIVE_FRACTION)
}
