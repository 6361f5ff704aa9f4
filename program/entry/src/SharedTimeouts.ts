import { RouteTimeouts, buildTimeoutTable, parseTimeoutTable, type RouteTable, type TimeoutTable } from '@pulleystack/config.routes'
import { isServing, type InstanceMesh } from '@pulleystack/membership.mesh'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import equal from 'fast-deep-equal'

/** The time limits of all routes, sent to instances that relay requests. */
const TIMEOUTS = defineChannel<TimeoutTable>('routes.timeouts', { isOneShot: true })

export interface SharedTimeoutsOptions {
  network: PeerNetwork
  mesh: Pick<InstanceMesh, 'listLinked'>
}

/**
 * The time limits of routes at instances that relay requests and have no configuration. Each instance with a configuration sends the limits to the linked
 * instances that don't serve, on every new link and whenever they change.
 */
export class SharedTimeouts {
  /** The limits of the own configuration. */
  private own: TimeoutTable | undefined
  /** The newest limits received. */
  private received: RouteTimeouts | undefined

  constructor (private readonly opts: SharedTimeoutsOptions) {}

  /** Finds the limit of a request's route in milliseconds; undefined if no instance has sent it. */
  find (host: string, path: string): number | undefined {
    return this.received?.find(host, path)
  }

  /** Sends the limits of a new configuration. */
  announce ({ config }: RouteTable): void {
    const table = buildTimeoutTable(config)
    const isChanged = !equal(table.hosts, this.own?.hosts)
    this.own = table
    if (isChanged) this.send(this.opts.mesh.listLinked().filter((identity) => !isServing(identity)).map(({ instance }) => instance))
  }

  /** Exchanges limits until the signal is aborted. */
  start (signal: AbortSignal): void {
    const { network } = this.opts
    const tables = network.receive(TIMEOUTS).subscribe(({ body }) => this.accept(body))
    const links = network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard' && event.isNewLink && !isServing(event.identity)) this.send([event.identity.instance])
    })
    signal.addEventListener('abort', () => {
      tables.unsubscribe()
      links.unsubscribe()
    }, { once: true })
  }

  private send (instances: readonly string[]): void {
    if (!this.own) return
    for (const instance of instances) this.opts.network.send(instance, TIMEOUTS, this.own)
  }

  private accept (body: unknown): void {
    const table = parseTimeoutTable(body)
    if (!table || table.version < (this.received?.table.version ?? -Infinity)) return
    this.received = new RouteTimeouts(table)
  }
}
