import net from 'node:net'

/** Longest time for which connections are still accepted, in milliseconds. */
const MAX_ACCEPTING_MS = 1_000
/** Event loop turns without a new connection after which the kernel holds none. */
const QUIET_TURNS = 3

/**
 * Stops accepting connections, after those that the kernel has accepted: it resets what it still holds when the port closes, and Node takes only one
 * connection in each turn of its event loop. Connections that are open stay open.
 */
export async function closePort (server: net.Server): Promise<void> {
  const endsAt = performance.now() + MAX_ACCEPTING_MS
  let turnsLeft = QUIET_TURNS
  const recordConnection = (): void => {
    turnsLeft = QUIET_TURNS
  }
  server.on('connection', recordConnection)
  while (turnsLeft-- > 0 && performance.now() < endsAt) await new Promise(setImmediate)
  server.off('connection', recordConnection)
  // The method of http.Server also closes connections without an active request.
  net.Server.prototype.close.call(server)
}
