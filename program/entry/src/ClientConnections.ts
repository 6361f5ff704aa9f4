import type http from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@pulleystack/core.clock'

const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'

/** One connection of a client. */
interface ClientConnection {
  /** The newest request; undefined while none is in hand. */
  lastRequest: Promise<void> | undefined
  /** Bytes that had come when its newest answer left; undefined before the first. */
  bytesReadWhenIdle: number | undefined
}

/** Serves a request, whose head came at a monotone time, until its answer has left. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number) => Promise<void>

/**
 * The connections of clients and what is in hand on each. Requests of one connection are served one after the other, so that none is passed
 * on behind an answer that closes the connection.
 */
export class ClientConnections {
  private readonly connections = new Map<Socket, ClientConnection>()

  constructor (private readonly clock: Clock, private readonly serve: RequestHandler) {}

  /** Knows the connection until it closes. */
  add (socket: Socket): void {
    this.connections.set(socket, { lastRequest: undefined, bytesReadWhenIdle: undefined })
    socket.once('close', () => this.connections.delete(socket))
  }

  /** Serves a request once those before it on its connection have their answers; drops it when the connection closes before. */
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
   * Closes the connections that rest between two requests. Node's own method takes an answer that was written for one that has left, and would
   * cut what a slow client still reads.
   */
  closeIdle (): void {
    for (const [socket, { lastRequest, bytesReadWhenIdle }] of this.connections) {
      if (!lastRequest && bytesReadWhenIdle === socket.bytesRead) socket.destroy()
    }
  }

  /**
   * Ends a connection on which bytes came that are no request. While a request is in hand an answer to them would stand in the midst of that
   * one's, so that the client gets none.
   */
  closeMalformed (socket: Socket): void {
    const hasActiveRequest = this.connections.get(socket)?.lastRequest !== undefined
    if (socket.writable && !hasActiveRequest) socket.end(BAD_REQUEST_RESPONSE)
    else socket.destroy()
  }

  private async serveIfWritable (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number): Promise<void> {
    if (request.socket.writable) await this.serve(request, response, arrivedAt)
  }
}
