import type http from 'node:http'
import type { AddressInfo } from 'node:net'
import { parseAddress } from '@pulleystack/core.addresses'
import { closePort, listenWhenFree } from '@pulleystack/core.listeners'
import { keepRunning } from '@pulleystack/core.tasks'
import { waitUntilSent } from '@pulleystack/gateway.routed'
import { DecisionKinds } from '@pulleystack/timeline.decisions'
import { ClientConnections } from './ClientConnections.js'
import { createClientServer, isWithoutHost, sendMissingHost } from './createClientServer.js'
import { recordListenerErrors } from './recordListenerErrors.js'
import type { Entry } from './startEntry.js'

const MAX_HEADER_BYTES = 32 << 10
const DEFAULT_IDLE_TIMEOUT_MS = 60_000
const DEFAULT_HEADER_TIMEOUT_MS = 10_000
const LIMITS_RELOAD_INTERVAL_MS = 1_000

/** The listener for routed requests. */
export interface ClientListener {
  /** Number of open connections. */
  readonly openConnections: number
  /** Closes connections without an active request or an unfinished response. */
  closeIdle: () => void
  /** Stops accepting connections, after those that the kernel has accepted. */
  closePort: () => Promise<void>
  /** Stops accepting connections and closes idle ones at once. */
  close: () => void
}

/** Serves routed requests at the instance's client address. */
export async function listenForClients (entry: Entry): Promise<ClientListener> {
  const options: http.ServerOptions = { maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: 0, noDelay: true, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS }
  const connections = new ClientConnections({
    clock: entry.clock,
    maxConnections: entry.settings.limits.clientConnections,
    serve: (request, response, arrivedAt) => serve(entry, request, response, arrivedAt),
    onDropped: (request) => entry.log.record(DecisionKinds.REQUEST_DROPPED, { request: entry.gateway.readRequestId(request) }),
  })
  const server = createClientServer(connections, options)
  const { host, port } = parseAddress(entry.settings.clientAddress)
  await listenWhenFree(server, { host, port, clock: entry.clock, onError: recordListenerErrors(entry.log, entry.settings.clientAddress) })
  entry.mesh.announce({ address: `${host}:${(server.address() as AddressInfo).port}` })
  keepRunning({ task: 'limits of clients', clock: entry.clock, signal: entry.ended.signal, run: () => reloadLimits(entry, server) })
  entry.metrics.addCounts('connections_closed_total', 'Client connections closed by this instance', 'reason', () => connections.closed)
  return {
    get openConnections () {
      return connections.size
    },
    closeIdle: () => connections.closeIdle(),
    closePort: () => connections.holdDuring(closePort(server)),
    close: () => server.close(),
  }
}

async function serve (entry: Entry, request: http.IncomingMessage, response: http.ServerResponse, arrivedAt: number): Promise<void> {
  if (!isWithoutHost(request)) return entry.gateway.handle(request, response, arrivedAt)
  sendMissingHost(response)
  await waitUntilSent(response)
}

/** Applies the connection limits of the current configuration periodically. */
async function reloadLimits (entry: Entry, server: http.Server): Promise<void> {
  while (!entry.ended.signal.aborted) {
    const limits = entry.readTable()?.config.limits
    server.keepAliveTimeout = limits?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS
    server.headersTimeout = limits?.headerTimeoutMs ?? DEFAULT_HEADER_TIMEOUT_MS
    await entry.clock.wait(LIMITS_RELOAD_INTERVAL_MS, entry.ended.signal)
  }
}
