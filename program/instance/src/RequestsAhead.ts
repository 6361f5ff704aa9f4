import type http from 'node:http'
import type { Socket } from 'node:net'

/** Requests that one connection may send ahead of their responses. */
const MAX_AHEAD = 256

/** Closes connections that send too many requests ahead of their responses. */
export class RequestsAhead {
  private readonly counts = new WeakMap<Socket, number>()

  /** Counts a request until its response is finished; returns false if its connection is closed. */
  admit ({ socket }: http.IncomingMessage, response: http.ServerResponse): boolean {
    if (socket.destroyed) return false
    const count = (this.counts.get(socket) ?? 0) + 1
    this.counts.set(socket, count)
    response.once('close', () => this.counts.set(socket, (this.counts.get(socket) ?? 1) - 1))
    if (count <= MAX_AHEAD) return true
    socket.destroy()
    return false
  }
}
