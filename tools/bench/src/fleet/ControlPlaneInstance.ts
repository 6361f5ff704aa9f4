import { ConfigReplica } from '@pulleystack/config.replica'
import { startConfigSync } from '@pulleystack/config.sync'
import { RandomSource, type Clock } from '@pulleystack/core.clock'
import { createLogger } from '@pulleystack/core.logging'
import { WebSocketNetwork, type PeerIdentity } from '@pulleystack/membership.peers'
import { MembershipView, startMembership } from '@pulleystack/membership.view'
import { InstanceRoles, type ObjectStore } from '@pulleystack/backend.interfaces'
import type { MemoryInstanceList } from '@pulleystack/emulator.stand-ins'
import { EventRing } from '@pulleystack/timeline.events'

/** Membership and configuration sync of an instance, connected to its peers by WebSocket. */
export class ControlPlaneInstance {
  readonly replica = new ConfigReplica()
  readonly view: MembershipView
  readonly network: WebSocketNetwork
  private readonly stopController = new AbortController()

  private constructor (private readonly opts: { clock: Clock, name: string, store: ObjectStore, list: MemoryInstanceList, region: string, hall: string }) {
    const { clock, name, region, hall } = opts
    const self: PeerIdentity = { instance: name, incarnation: 1, address: '', peerAddress: '', region, dataHall: hall, leaving: false }
    this.view = new MembershipView({ clock, self })
    this.network = new WebSocketNetwork({
      clock,
      random: new RandomSource(),
      logger: createLogger({ name, level: 'silent' }),
      readIdentity: () => this.view.self,
      findAddress: (instance) => this.view.findMember(instance)?.peerAddress,
      host: '127.0.0.1',
      port: 0,
      heartbeatMs: 500,
      suspectAfterMs: 1_500,
    })
  }

  static async start (
    opts: { clock: Clock, name: string, store: ObjectStore, list: MemoryInstanceList, region: string, hall: string },
  ): Promise<ControlPlaneInstance> {
    const instance = new ControlPlaneInstance(opts)
    const peerAddress = `127.0.0.1:${await instance.network.start()}`
    Object.assign(instance.view.self, { peerAddress })
    opts.list.setInstance({
      id: opts.name,
      role: InstanceRoles.ENTRY,
      address: '',
      peerAddress,
      region: opts.region,
      dataHall: opts.hall,
      leaving: false,
      labels: {},
    })
    return instance
  }

  async startSync (): Promise<void> {
    const { clock, store, list, name, hall } = this.opts
    const ring = new EventRing({ clock, instance: name, dataHall: hall, capacity: 100 })
    const { signal } = this.stopController
    await startMembership({ clock, view: this.view, network: this.network, list, ring, listPollMs: 1_000 }, signal)
    startConfigSync({ clock, random: new RandomSource(), replica: this.replica, store, network: this.network, view: this.view, digestMs: 2_000 }, signal)
  }

  async stop (): Promise<void> {
    this.stopController.abort()
    await this.network.stop()
  }
}
