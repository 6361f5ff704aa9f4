import type http from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@pulleystack/core.clock'
import { closeAfterReading, waitForReads } from '@pulleystack/core.listeners'

/** A client that has just connected, or received a response, may be about to send a request. */
const MIN_IDLE_MS = 300
/** Requests that one connection may send ahead of their responses, and all connections together. */
const MAX_AHEAD = 256
const MAX_AHEAD_OF_ALL = 4_096
const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'

interface ClientConnection {
  /** Monotonic time in milliseconds of the newest response, or of the connection. */
  usedAt: number
  /** Its end was begun here; requests that arrive later can't be answered. */
  isClosing: boolean
  /** Completion of the newest request; undefined while no request is active. */
  lastRequest: Promise<void> | undefined
  /** Bytes read when the last response was finished. */
  bytesReadWhenIdle: number
  /** Requests that have arrived and whose responses are not finished. */
  ahead: number
  /** The newest request; undefined before the first. */
  newest: http.IncomingMessage | undefined
  /** The response to the request that is being served; undefined before the first. */
  current: http.ServerResponse | undefined
}

/** Why an instance closed a connection of a client. */
export const CloseReasons = {
  /** No request was active when the instance stopped. */
  STOP: 'stop',
  /** The client sent malformed data. */
  MALFORMED: 'malformed',
  /** A response asked for it, also one to a body that was not read. */
  RESPONSE: 'response',
  /** No request came within the configured time. */
  IDLE: 'idle',
  /** The client sent too many requests ahead of their responses. */
  AHEAD: 'ahead',
  /** There were too many connections, and others were used later. */
  CROWDED: 'crowded',
} as const
export type CloseReason = typeof CloseReasons[keyof typeof CloseReasons]

/** Serves a request until its response is sent; `arrivedAt` is the monotonic time at which its head arrived. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number) => Promise<void>

export interface ClientConnectionsOptions {
  clock: Clock
  /** Connections that may be open at a time. */
  maxConnections: number
  serve: RequestHandler
  /** Called with a request that is dropped unanswered, as its connection had been closed here before it arrived. */
  onDropped: (request: http.IncomingMessage) => void
}

/**
 * Client connections and their active requests. Requests on one connection are served in order, so that no request is forwarded after a response
 * that closes the connection.
 */
export class ClientConnections {
  private readonly connections = new Map<Socket, ClientConnection>()

  private readonly closes = new Map<CloseReason, number>()
  /** Requests of all connections whose responses are not finished. */
  private ahead = 0
  /** Requests are served once it is resolved; undefined while nothing holds them. */
  private gate: Promise<unknown> | undefined

  constructor (private readonly opts: ClientConnectionsOptions) {}

  /** Number of open connections. */
  get size (): number {
    return this.connections.size
  }

  /** Number of connections that were closed here, by reason. */
  get closed (): ReadonlyMap<CloseReason, number> {
    return this.closes
  }

  /** Holds new requests until the promise is settled, so that clients which send one after another open no further connections meanwhile. */
  async holdDuring (promise: Promise<unknown>): Promise<void> {
    this.gate = promise
    await promise.finally(() => {
      this.gate = undefined
    })
  }

  /** Tracks the connection until it closes; makes room for it if there are too many. */
  add (socket: Socket): void {
    const usedAt = this.opts.clock.readTime()
    this.connections.set(socket, { usedAt, isClosing: false, lastRequest: undefined, bytesReadWhenIdle: 0, ahead: 0, newest: undefined, current: undefined })
    // Node calls this behind a response that ends the connection.
    socket.destroySoon = () => this.closeConnection(socket, CloseReasons.RESPONSE)
    socket.once('close', () => this.remove(socket))
    if (this.connections.size > this.opts.maxConnections) this.cut(this.findUnused() ?? socket, CloseReasons.CROWDED)
  }

  private remove (socket: Socket): void {
    const connection = this.connections.get(socket)
    if (!connection) return
    this.ahead -= connection.ahead
    this.connections.delete(socket)
  }

  /** The connection that was used the longest time ago, of those that wait for their client; undefined if none does. */
  private findUnused (): Socket | undefined {
    let oldest: { socket: Socket, usedAt: number } | undefined
    for (const [socket, connection] of this.connections) {
      if (connection.lastRequest && connection.newest?.complete !== false && !connection.current?.writableEnded) continue
      if (!oldest || connection.usedAt < oldest.usedAt) oldest = { socket, usedAt: connection.usedAt }
    }
    return oldest?.socket
  }

  /** Closes a connection at once. */
  private cut (socket: Socket, reason: CloseReason): void {
    const connection = this.connections.get(socket)
    if (!connection) return
    connection.isClosing = true
    this.countClose(reason)
    this.remove(socket)
    socket.destroy()
  }

  /** Serves a request after the earlier ones on its connection; drops it if the connection closes first. */
  async handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const connection = this.connections.get(request.socket)
    if (!connection) return
    connection.newest = request
    if (!this.admitAhead(request.socket, connection)) return
    const arrivedAt = this.opts.clock.readTime()
    const serve = (): Promise<void> => {
      connection.current = response
      return this.serveIfWritable(request, response, arrivedAt)
    }
    const currentRequest = connection.lastRequest ? connection.lastRequest.then(serve) : serve()
    connection.lastRequest = currentRequest
    await currentRequest
    if (this.connections.has(request.socket)) this.ahead--
    connection.ahead--
    if (connection.lastRequest !== currentRequest) return
    connection.lastRequest = undefined
    connection.usedAt = this.opts.clock.readTime()
    connection.bytesReadWhenIdle = request.socket.bytesRead
  }

  /** Counts a request; closes the connections that send the most ahead if that is too many. Returns whether its own connection stays open. */
  private admitAhead (socket: Socket, connection: ClientConnection): boolean {
    connection.ahead++
    this.ahead++
    if (connection.ahead > MAX_AHEAD) this.cut(socket, CloseReasons.AHEAD)
    while (this.ahead > MAX_AHEAD_OF_ALL) this.cut(this.findFarthestAhead(), CloseReasons.AHEAD)
    return this.connections.has(socket)
  }

  private findFarthestAhead (): Socket {
    const [first] = [...this.connections].sort(([, a], [, b]) => b.ahead - a.ahead)
    return (first as [Socket, ClientConnection])[0]
  }

  /**
   * Closes connections without an active or unfinished request, as far as they were read. Node's closeIdleConnections would truncate responses that slow
   * clients are still reading.
   */
  closeIdle (): void {
    for (const socket of [...this.connections.keys()]) if (this.isIdle(socket, MIN_IDLE_MS)) this.closeConnection(socket, CloseReasons.STOP)
  }

  /** Closes a connection whose idle time is over, unless a request has arrived that the process, being held up, hadn't read. */
  async expire (socket: Socket): Promise<void> {
    await waitForReads()
    if (this.isIdle(socket, 0)) this.closeConnection(socket, CloseReasons.IDLE)
  }

  /** Closes a connection that received malformed data. Responds with 400 only if no request is active, so as not to corrupt its response. */
  closeMalformed (socket: Socket): void {
    const connection = this.connections.get(socket)
    if (connection?.isClosing) return
    if (!socket.writable || connection?.lastRequest !== undefined) {
      this.countClose(CloseReasons.MALFORMED)
      socket.destroy()
      return
    }
    socket.write(BAD_REQUEST_RESPONSE)
    this.closeConnection(socket, CloseReasons.MALFORMED)
  }

  /** Whether no request is active or has begun to arrive, for at least `minMs` milliseconds. */
  private isIdle (socket: Socket, minMs: number): boolean {
    const connection = this.connections.get(socket)
    if (!connection || connection.lastRequest || connection.isClosing) return false
    return connection.bytesReadWhenIdle === socket.bytesRead && this.opts.clock.readTime() - connection.usedAt >= minMs
  }

  private closeConnection (socket: Socket, reason: CloseReason): void {
    const connection = this.connections.get(socket)
    if (!connection || connection.isClosing) return
    connection.isClosing = true
    this.countClose(reason)
    closeAfterReading(socket)
  }

  private countClose (reason: CloseReason): void {
    this.closes.set(reason, (this.closes.get(reason) ?? 0) + 1)
  }

  private async serveIfWritable (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number): Promise<void> {
    if (this.gate) await this.gate
    if (request.socket.writable) await this.opts.serve(request, response, arrivedAt)
    else if (this.connections.get(request.socket)?.isClosing) this.opts.onDropped(request)
  }
}
