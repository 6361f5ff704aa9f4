import { parseAddress } from '@pulleystack/core.addresses'
import type { Clock } from '@pulleystack/core.clock'
import { TcpConnector, type Connector } from './Connector.js'

// Connecting takes a few milliseconds, also to another data hall, unless the machine is down.
const CONNECT_TIMEOUT_MS = 300

/** Checks whether a backend server is down or has only closed a connection. Concurrent checks of a server share one connection attempt. */
export class ServerProbe {
  private readonly pending = new Map<string, Promise<boolean>>()

  constructor (private readonly clock: Clock, private readonly connector: Connector = new TcpConnector()) {}

  /** Whether a connection to the address fails or times out. */
  isDown (address: string): Promise<boolean> {
    const existing = this.pending.get(address)
    if (existing) return existing
    const probe = this.isUnreachable(address).finally(() => this.pending.delete(address))
    this.pending.set(address, probe)
    return probe
  }

  private isUnreachable (address: string): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = this.connector.connect(parseAddress(address))
      const finish = (isDown: boolean) => (): void => {
        cancel()
        socket.destroy()
        resolve(isDown)
      }
      const cancel = this.clock.setTimer(CONNECT_TIMEOUT_MS, finish(true))
      socket.once('connect', finish(false))
      socket.on('error', finish(true))
    })
  }
}
