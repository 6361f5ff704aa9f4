import { once } from 'node:events'
import { readFile } from 'node:fs/promises'
import http from 'node:http'
import https from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import { parseAddress } from '@pulleystack/core.addresses'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { closeAfterReading, closePort, waitForReads } from '@pulleystack/core.listeners'
import { sendError, sendJson } from '@pulleystack/gateway.http'
import { RequestsAhead } from './RequestsAhead.js'
import type { Gateways } from './createGateways.js'
import type { Core } from './startInstance.js'

const MAX_HEADER_BYTES = 32 << 10
const MAX_HEADERS = 100
const KEEP_ALIVE_TIMEOUT_MS = 30_000

/** HTTP listener for callers and operators. */
export interface Listener {
  address: string
  /** Stops accepting connections and closes idle ones; resolves when all are closed. */
  close: () => Promise<void>
  /** Sends `connection: close` with every response from now on. */
  setClosing: () => void
  /** Closes all connections immediately. */
  closeNow: () => Promise<void>
}

export async function listen (core: Core, gateways: Gateways): Promise<Listener> {
  const { settings } = core
  const state = { closing: false }
  const ahead = new RequestsAhead()
  const options: http.ServerOptions = {
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: settings.limits.headersTimeoutMs,
    requestTimeout: settings.limits.requestTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    noDelay: true,
  }
  const handle: http.RequestListener = (request, response) => {
    if (!ahead.admit(request, response)) return
    if (state.closing) response.setHeader('connection', 'close')
    void dispatch(core, gateways, request, response)
  }
  const server = settings.callerTls ? https.createServer({ ...options, ...await readTls(settings.callerTls) }, handle) : http.createServer(options, handle)
  server.maxHeadersCount = MAX_HEADERS
  server.maxConnections = settings.limits.connections
  server.on('clientError', answerClientError)
  server.on('connection', (socket) => {
    // Node calls this behind a response that ends the connection.
    socket.destroySoon = () => closeAfterReading(socket)
  })
  const { host, port } = parseAddress(settings.listen.callers)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const address = `${host}:${(server.address() as AddressInfo).port}`
  return {
    address,
    setClosing: () => {
      state.closing = true
    },
    close: () => closeServer(server),
    closeNow: () => {
      const closed = closeServer(server)
      server.closeAllConnections()
      return closed
    },
  }
}

async function readTls (files: { certificate: string, key: string }): Promise<{ cert: string, key: string }> {
  return { cert: await readFile(files.certificate, 'utf8'), key: await readFile(files.key, 'utf8') }
}

/** Closes the port and idle connections, once what has arrived was read; resolves when all connections are closed. */
async function closeServer (server: http.Server): Promise<void> {
  const closed = once(server, 'close')
  await closePort(server)
  await waitForReads()
  server.closeIdleConnections()
  await closed
}

async function dispatch (core: Core, gateways: Gateways, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
  // Errors after a request was rejected must not crash the process.
  request.on('error', () => undefined)
  response.on('error', () => undefined)
  const url = parseUrl(request)
  if (!url) sendError(response, new PulleystackError('BAD_HEADER', 'The request path is malformed', { field: 'path' }))
  else if (url.pathname === '/healthz') sendJson(response, 200, { live: true })
  else if (url.pathname === '/readyz') sendReadiness(core, response)
  else if (url.pathname === '/metrics') await sendMetrics(core, response)
  else if (url.pathname.startsWith('/admin/')) await gateways.admin.handle(request, response, url)
  else if (!core.replica.isComplete) sendError(response, new PulleystackError('STORE_UNAVAILABLE', 'This instance has no configuration yet', { retryAfterSeconds: 1 }))
  else if (!await gateways.routed.tryHandle(request, response, url)) await gateways.callers.handle(request, response, url)
}

function parseUrl (request: http.IncomingMessage): URL | undefined {
  try {
    return new URL(request.url ?? '/', 'http://instance')
  } catch {
    return undefined
  }
}

function sendReadiness (core: Core, response: http.ServerResponse): void {
  const ready = core.replica.isComplete && core.view.self.state === 'live'
  sendJson(response, ready ? 200 : 503, { ready, state: core.view.self.state, configVersion: core.replica.newestVersion })
}

async function sendMetrics (core: Core, response: http.ServerResponse): Promise<void> {
  const text = await core.metrics.registry.metrics()
  response.writeHead(200, { 'content-type': core.metrics.registry.contentType })
  response.end(text)
}

/** Responds to a malformed or too slow request and closes its connection. */
function answerClientError (error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const isTimeout = error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
  // Part of a streamed body may already have reached a backend server.
  const clientError = isTimeout
    ? new PulleystackError('BODY_TOO_SLOW', 'The request did not arrive in time', { ran: Ran.UNKNOWN })
    : new PulleystackError('BAD_HEADER', `Malformed request: ${error.code}`)
  const body = JSON.stringify(clientError.renderBody())
  const status = `${clientError.resultCode.status} ${http.STATUS_CODES[clientError.resultCode.status]}`
  socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\npulleystack-ran: ${clientError.ran}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
}
