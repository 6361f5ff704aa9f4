import http from 'node:http'
import type { Socket } from 'node:net'
import type { ClientConnections } from './ClientConnections.js'

const BAD_REQUEST = 400

/** Creates a server whose requests are served by the connections in order. */
export function createClientServer (connections: ClientConnections, options: http.ServerOptions): http.Server {
  // Node would respond to requests without a Host header by itself, as many as a client sends ahead.
  const server = http.createServer({ ...options, requireHostHeader: false }, (request, response) => {
    // Errors after a request was rejected must not crash the process.
    request.on('error', () => undefined)
    response.on('error', () => undefined)
    void connections.handle(request, response)
  })
  server.on('connection', (socket) => connections.add(socket))
  server.on('timeout', (socket) => void connections.expire(socket))
  server.on('clientError', (_, socket) => connections.closeMalformed(socket as Socket))
  return server
}

/** Whether the request lacks the Host header that its version of HTTP requires. */
export function isWithoutHost ({ headers, httpVersion }: http.IncomingMessage): boolean {
  return headers.host === undefined && httpVersion === '1.1'
}

/** Rejects a request without a Host header. */
export function sendMissingHost (response: http.ServerResponse): void {
  response.writeHead(BAD_REQUEST, { 'connection': 'close', 'content-length': 0 }).end()
}
