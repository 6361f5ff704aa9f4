import type { Backend } from '@pulleystack/routing.fleet'
import type { ServerPermits } from '@pulleystack/routing.permits'

/** Counts requests that would go to servers whose limits leave nothing, and asks for as many rights to send there. */
export class WantedPermits {
  private readonly counts = new Map<Backend, number>()

  /** Without `permits`, where servers name no limits, nothing is ever asked for. */
  constructor (private readonly permits: Pick<ServerPermits, 'request' | 'giveBack'> | undefined) {}

  /** One more request would go to the server. */
  note (backend: Backend): void {
    this.counts.set(backend, (this.counts.get(backend) ?? 0) + 1)
  }

  /** Asks for what was noted since the last time. */
  request (): void {
    const counts = [...this.counts]
    this.counts.clear()
    for (const [backend, count] of counts) this.permits?.request(backend, count)
  }

  /** Gives the right back that was taken for a request which was not sent. */
  giveBack (backend: Backend): void {
    this.permits?.giveBack(backend, 1)
  }
}
