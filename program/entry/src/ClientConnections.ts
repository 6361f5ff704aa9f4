import type http from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@pulleystack/core.clock'

const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'

interface ClientConnection {
  /** Completion of the newest request; undefined while no request is active. */
  lastRequest: Promise<void> | undefined
  /** Bytes read when the last response was finished; undefined before the first. */
  bytesReadWhenIdle: number | undefined
}

/** Why an instance closed a connection of a client. */
export const CloseReasons = {
  /** No request was active when the instance stopped. */
  STOP: 'stop',
  /** The client sent malformed data. */
  MALFORMED: 'malformed',
} as const
export type CloseReason = typeof CloseReasons[keyof typeof CloseReasons]

/** Serves a request until its response is sent; `arrivedAt` is the monotonic time at which its head arrived. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number) => Promise<void>

/**
 * Client connections and their active requests. Requests on one connection are served in order, so that no request is forwarded after a response
 * that closes the connection.
 */
export class ClientConnections {
  private readonly connections = new Map<Socket, ClientConnection>()

  private readonly closes = new Map<CloseReason, number>()

  constructor (private readonly clock: Clock, private readonly serve: RequestHandler) {}

  /** Number of open connections. */
  get size (): number {
    return this.connections.size
  }

  /** Number of connections that were closed here, by reason. */
  get closed (): ReadonlyMap<CloseReason, number> {
    return this.closes
  }

  /** Tracks the connection until it closes. */
  add (socket: Socket): void {
    this.connections.set(socket, { lastRequest: undefined, bytesReadWhenIdle: undefined })
    socket.once('close', () => this.connections.delete(socket))
  }

  /** Serves a request after the earlier ones on its connection; drops it if the connection closes first. */
  async handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const connection = this.connections.get(request.socket)
    if (!connection) return
    const arrivedAt = this.clock.readTime()
    const currentRequest = connection.lastRequest
      ? connection.lastRequest.then(() => this.serveIfWritable(request, response, arrivedAt))
      : this.serve(request, response, arrivedAt)
    connection.lastRequest = currentRequest
    await currentRequest
    if (connection.lastRequest !== currentRequest) return
    connection.lastRequest = undefined
    connection.bytesReadWhenIdle = request.socket.bytesRead
  }

  /**
   * Closes connections that are idle between two requests. Node's closeIdleConnections would truncate responses that slow clients are still
   * reading.
   */
  closeIdle (): void {
    for (const [socket, { lastRequest, bytesReadWhenIdle }] of this.connections) {
      if (lastRequest || bytesReadWhenIdle !== socket.bytesRead) continue
      this.countClose(CloseReasons.STOP)
      socket.destroy()
    }
  }

  /** Closes a connection that received malformed data. Responds with 400 only if no request is active, so as not to corrupt its response. */
  closeMalformed (socket: Socket): void {
    this.countClose(CloseReasons.MALFORMED)
    const hasActiveRequest = this.connections.get(socket)?.lastRequest !== undefined
    if (socket.writable && !hasActiveRequest) socket.end(BAD_REQUEST_RESPONSE)
    else socket.destroy()
  }

  private countClose (reason: CloseReason): void {
    this.closes.set(reason, (this.closes.get(reason) ?? 0) + 1)
  }

  private async serveIfWritable (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number): Promise<void> {
    if (request.socket.writable) await this.serve(request, response, arrivedAt)
  }
}
