import type http from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@pulleystack/core.clock'
import { closeAfterReading, waitForReads } from '@pulleystack/core.listeners'

/** A client that has just connected, or received a response, may be about to send a request. */
const MIN_IDLE_MS = 300
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
} as const
export type CloseReason = typeof CloseReasons[keyof typeof CloseReasons]

/** Serves a request until its response is sent; `arrivedAt` is the monotonic time at which its head arrived. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number) => Promise<void>

export interface ClientConnectionsOptions {
  clock: Clock
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

  /** Tracks the connection until it closes. */
  add (socket: Socket): void {
    this.connections.set(socket, { usedAt: this.opts.clock.readTime(), isClosing: false, lastRequest: undefined, bytesReadWhenIdle: 0 })
    // Node calls this behind a response that ends the connection.
    socket.destroySoon = () => this.closeConnection(socket, CloseReasons.RESPONSE)
    socket.once('close', () => this.connections.delete(socket))
  }

  /** Serves a request after the earlier ones on its connection; drops it if the connection closes first. */
  async handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const connection = this.connections.get(request.socket)
    if (!connection) return
    const arrivedAt = this.opts.clock.readTime()
    const serve = (): Promise<void> => this.serveIfWritable(request, response, arrivedAt)
    const currentRequest = connection.lastRequest ? connection.lastRequest.then(serve) : serve()
    connection.lastRequest = currentRequest
    await currentRequest
    if (connection.lastRequest !== currentRequest) return
    connection.lastRequest = undefined
    connection.usedAt = this.opts.clock.readTime()
    connection.bytesReadWhenIdle = request.socket.bytesRead
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
