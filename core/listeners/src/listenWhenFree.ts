import type { Server } from 'node:net'
import type { Clock } from '@pulleystack/core.clock'

const RETRY_INTERVAL_MS = 100
/** Longer than a process takes to stop. */
const MAX_WAIT_MS = 60_000
/** The address may become available without a change of the settings. */
const TEMPORARY_ERRORS: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL'])

export interface ListenOptions {
  host: string
  port: number
  clock: Clock
  /** Called when the address is first found in use, and for each error of the server later on. */
  onError: (error: NodeJS.ErrnoException) => void
}

/** Listens at an address, as soon as it is available. Rejects with the last error after a minute, and at once when waiting can't help. */
export async function listenWhenFree (server: Server, { host, port, clock, onError }: ListenOptions): Promise<void> {
  const deadline = clock.readTime() + MAX_WAIT_MS
  for (let attempt = 1; ; attempt++) {
    const error = await tryListen(server, host, port)
    if (!error) break
    if (!TEMPORARY_ERRORS.has(error.code) || clock.readTime() >= deadline) throw error
    if (attempt === 1) onError(error)
    await clock.wait(RETRY_INTERVAL_MS)
  }
  server.on('error', onError)
}

/** Resolves with the error if the server can't listen. */
function tryListen (server: Server, host: string, port: number): Promise<NodeJS.ErrnoException | undefined> {
  return new Promise((resolve) => {
    const finish = (error?: NodeJS.ErrnoException): void => {
      server.removeListener('error', finish)
      server.removeListener('listening', finish)
      resolve(error)
    }
    server.once('error', finish)
    server.once('listening', finish)
    server.listen(port, host)
  })
}
