import type { Socket } from 'node:net'

const DEFAULT_MAX_CONNECTIONS = 256
/** Bytes that a connection may send before it has identified itself. */
const MAX_HANDSHAKE_BYTES = 64 << 10

/** Bounds what connections that have not identified themselves as a peer make the process hold. */
export class UnidentifiedConnections {
  private readonly sockets = new Set<Socket>()

  constructor (private readonly maxConnections = DEFAULT_MAX_CONNECTIONS) {}

  /** Tracks a connection until it identifies itself or closes; closes the oldest one if there are too many, and each that sends too much. */
  add (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('data', () => {
      if (this.sockets.has(socket) && socket.bytesRead > MAX_HANDSHAKE_BYTES) socket.destroy()
    })
    socket.once('close', () => this.remove(socket))
    const [oldest] = this.sockets
    if (this.sockets.size > this.maxConnections) oldest?.destroy()
  }

  /** Has to be called once the connection has identified itself. */
  remove (socket: Socket): void {
    this.sockets.delete(socket)
  }
}
