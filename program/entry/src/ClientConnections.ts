import type http from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from '@pulleystack/core.clock'

const UNREADABLE_ANSWER = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n'

/** One connection of a client. */
interface ClientConnection {
  /** The newest request; undefined while none is in hand. */
  turn: Promise<void> | undefined
  /** Bytes that had come when its newest answer left; undefined before the first. */
  restsAt: number | undefined
}

/** Serves a request, whose head came at a monotone time, until its answer has left. */
export type ServeRequest = (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number) => Promise<void>

/**
 * The connections of clients and what is in hand on each. Requests of one connection are served one after the other, so that none is passed
 * on behind an answer that closes the connection.
 */
export class ClientConnections {
  private readonly connections = new Map<Socket, ClientConnection>()

  constructor (private readonly clock: Clock, private readonly serve: ServeRequest) {}

  /** Knows the connection until it closes. */
  add (socket: Socket): void {
    this.connections.set(socket, { turn: undefined, restsAt: undefined })
    socket.once('close', () => this.connections.delete(socket))
  }

  /** Serves a request once those before it on its connection have their answers; drops it when the connection closes before. */
  async take (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const connection = this.connections.get(request.socket)
    if (!connection) return
    const arrivedAt = this.clock.readTime()
    const turn = connection.turn
      ? connection.turn.then(() => this.serveNext(request, response, arrivedAt))
      : this.serve(request, response, arrivedAt)
    connection.turn = turn
    await turn
    if (connection.turn !== turn) return
    connection.turn = undefined
    connection.restsAt = request.socket.bytesRead
  }

  /**
   * Closes the connections that rest between two requests. Node's own method takes an answer that was written for one that has left, and would
   * cut what a slow client still reads.
   */
  closeIdle (): void {
    for (const [socket, { turn, restsAt }] of this.connections) {
      if (!turn && restsAt === socket.bytesRead) socket.destroy()
    }
  }

  /**
   * Ends a connection on which bytes came that are no request. While a request is in hand an answer to them would stand in the midst of that
   * one's, so that the client gets none.
   */
  closeUnreadable (socket: Socket): void {
    const isInHand = this.connections.get(socket)?.turn !== undefined
    if (socket.writable && !isInHand) socket.end(UNREADABLE_ANSWER)
    else socket.destroy()
  }

  private async serveNext (request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number): Promise<void> {
    if (request.socket.writable) await this.serve(request, response, arrivedAt)
  }
}
