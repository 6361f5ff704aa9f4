import http from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { buffer } from 'node:stream/consumers'

/** An HTTP server on a loopback port. */
export interface LoopbackServer {
  address: string
  /** Breaks all connections immediately, as a crash would. */
  close: () => Promise<void>
}

/** Starts an HTTP server on 127.0.0.1. Port 0 selects a free port. */
export async function listenLoopback (handle: http.RequestListener, port = 0): Promise<LoopbackServer> {
  const server = http.createServer({ keepAliveTimeout: 60_000 }, handle)
  const sockets = new Set<Socket>()
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => closeServer(server, sockets) }
}

function closeServer (server: http.Server, sockets: Set<Socket>): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    for (const socket of sockets) socket.destroy()
  })
}

export function readWholeBody (request: http.IncomingMessage): Promise<Buffer> {
  return buffer(request)
}

export function answerJson (response: http.ServerResponse, status: number, value: unknown, headers: http.OutgoingHttpHeaders = {}): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(value))
}
