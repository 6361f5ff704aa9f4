import net from 'node:net'
import { parseAddress } from '@pulleystack/core.addresses'
import type { Clock } from '@pulleystack/core.clock'

/** A server in another data hall is connected to within a few milliseconds, unless its machine is gone. */
const PROBE_MS = 300

/** Tells servers that have ended from those that only broke a connection. Exchanges that one end cut share one connection attempt. */
export class ServerProbe {
  private readonly pending = new Map<string, Promise<boolean>>()

  constructor (private readonly clock: Clock) {}

  /** Whether no connection comes up at an address any more. */
  hasEnded (address: string): Promise<boolean> {
    const present = this.pending.get(address)
    if (present) return present
    const probe = this.isUnreachable(address).finally(() => this.pending.delete(address))
    this.pending.set(address, probe)
    return probe
  }

  private isUnreachable (address: string): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = net.connect(parseAddress(address))
      const finish = (isEnded: boolean) => (): void => {
        cancel()
        socket.destroy()
        resolve(isEnded)
      }
      const cancel = this.clock.setTimer(PROBE_MS, finish(true))
      socket.once('connect', finish(false))
      // What went wrong is the answer.
      socket.on('error', finish(true))
    })
  }
}
