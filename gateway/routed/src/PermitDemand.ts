import type { Backend } from '@pulleystack/routing.fleet'
import type { ServerPermits } from '@pulleystack/routing.permits'

/** Counts requests that lack a permit for a rate-limited server, and requests as many permits for it. */
export class PermitDemand {
  private readonly countByServer = new Map<Backend, number>()

  /** Without `permits` no permits are requested. */
  constructor (private readonly permits: Pick<ServerPermits, 'request' | 'release'> | undefined) {}

  /** Counts one more request that lacks a permit for the server. */
  add (backend: Backend): void {
    this.countByServer.set(backend, (this.countByServer.get(backend) ?? 0) + 1)
  }

  /** Requests the permits counted since the last call. */
  request (): void {
    const counts = [...this.countByServer]
    this.countByServer.clear()
    for (const [backend, count] of counts) this.permits?.request(backend, count)
  }

  /** Returns the permit of a request that was not sent. */
  release (backend: Backend): void {
    this.permits?.release(backend, 1)
  }
}
