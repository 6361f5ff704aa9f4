import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { MemoryObjectStore, type StoreSnapshot } from '@pulleystack/emulator.stand-ins'
import { RecordingServers } from '../RecordingServers.js'
import { createNode, type Node } from '../ResidencyNode.js'
import { OrderPath } from './OrderPath.js'
import { ProcessClock, ProcessGate } from './ProcessGate.js'
import { ProcessHub } from './ProcessHub.js'
import { ProcessStore } from './ProcessStore.js'

const MODELS = 'abcd'
/** Interval at which servers drop a model that is wanted. */
export const DEMAND_INTERVAL_MS = 200
/** Time after which instances notice that another one doesn't answer. */
const DETECTION_MS = 700

/** One process run of an instance. */
export interface Process {
  node: Node
  gate: ProcessGate
  orders: OrderPath
  store: ProcessStore
  run: number
  /** Monotonic time since which peers can't reach it; undefined while they can. */
  unreachableSince: number | undefined
}

export interface LeaseWorldOptions {
  instances: readonly string[]
  servers: readonly string[]
  /** Speed of an instance's clock; 1 by default. */
  readSpeed?: (instance: string) => number
  /** Milliseconds; `DEMAND_INTERVAL_MS` by default. With long ones, another holder may be the first to see what is wanted. */
  demandIntervalMs?: number
}

/**
 * Instances, servers and a store without sockets, on one clock. All models are wanted at every instance, and servers drop one after the other, so that
 * whoever may send orders does so.
 */
export class LeaseWorld {
  readonly clock = new ManualClock()
  readonly servers = new RecordingServers(this.clock)
  readonly shared = new MemoryObjectStore({ clock: this.clock })
  readonly hub = new ProcessHub({ clock: this.clock, random: new RandomSource(1) })
  /** The latest process of each instance. */
  readonly processes = new Map<string, Process>()
  /** Paths of all process runs; orders outlive their process. */
  readonly paths: OrderPath[] = []
  private snapshot: StoreSnapshot | undefined
  private demandRounds = 0

  constructor (private readonly opts: LeaseWorldOptions) {
    for (const id of opts.servers) this.servers.add(id, 'a', 'b', 'c')
    for (const instance of opts.instances) this.startProcess(instance, 1)
    this.shared.epochs.record(0)
    this.scheduleDemand()
  }

  get living (): Process[] {
    return [...this.processes.values()].filter(({ gate }) => !gate.isDead)
  }

  /** The process that may send orders, or else the one whose orders arrived last. */
  get holder (): Process | undefined {
    const entitled = this.living.find(({ node }) => node.service.maySendOrders)
    return entitled ?? this.living.find(({ node }) => node.name === this.servers.received.at(-1)?.holder)
  }

  /** Monotonic time at which the last late order arrives. */
  get busyUntil (): number {
    return Math.max(...this.paths.map((path) => path.busyUntil))
  }

  startProcess (instance: string, run: number): void {
    const { clock, servers, shared, hub } = this
    const gate = new ProcessGate(clock)
    const orders = new OrderPath({ clock, gate, servers })
    const store = new ProcessStore({ clock, gate, shared })
    hub.gates.set(instance, gate)
    const node = createNode(instance, {
      clock: new ProcessClock(clock, gate, this.opts.readSpeed?.(instance)),
      servers: orders,
      shared: store,
      hub,
      listNames: () => this.listSeen(instance),
      listAll: () => [...this.opts.instances],
      readCapacity: () => 1,
      readDetectionMs: () => 0,
      run,
    })
    store.onEpoch = (epoch) => node.store.epochs.record(epoch)
    // Instances know the epoch of the store before they look for the lease.
    node.store.epochs.record(0)
    this.processes.set(instance, { node, gate, orders, store, run, unreachableSince: undefined })
    this.paths.push(orders)
    node.service.start(node.ended.signal)
    this.openLinks(instance)
  }

  /** Tells a new process and the others of their links to each other. */
  private openLinks (instance: string): void {
    const own = this.hub.findNode(instance)
    for (const { node } of this.living) {
      const other = this.hub.findNode(node.name)
      if (!own || !other || other === own) continue
      own.events.next({ kind: 'heard', identity: other.identity, isNewLink: true })
      other.events.next({ kind: 'heard', identity: own.identity, isNewLink: true })
    }
  }

  kill ({ gate, node }: Process): void {
    gate.kill()
    this.hub.removeNode(node.name)
  }

  takeSnapshot (): void {
    this.snapshot = this.shared.takeSnapshot()
  }

  restoreSnapshot (): void {
    if (this.snapshot) this.shared.restore(this.snapshot)
  }

  resumeAll (): void {
    for (const process of this.living) {
      if (!process.gate.isSuspended) continue
      process.gate.resume()
      process.unreachableSince = undefined
    }
  }

  healPeers (): void {
    this.hub.healAll()
    for (const process of this.living) if (process.gate.isRunning) process.unreachableSince = undefined
  }

  /** Ends all faults; killed processes stay dead. */
  healAll (): void {
    this.healPeers()
    for (const path of this.paths) path.heal()
    this.resumeAll()
    for (const process of this.living) {
      process.node.store.unavailableSince = undefined
      process.unreachableSince = undefined
      this.setCutOff(process, false)
    }
  }

  /** Cuts a process off from all servers; both it and its peers know. */
  setCutOff ({ orders, node }: Process, isCutOff: boolean): void {
    orders.isCut = isCutOff
    if (isCutOff) node.fleet.contacts.recordCutOff(this.clock.readTime())
    else node.fleet.contacts.recordReached(this.clock.readTime())
    for (const other of this.living) other.node.fleet.contacts.applyPeer(node.name, isCutOff)
  }

  /** Instances that one of them takes for living candidates. */
  private listSeen (viewer: string): string[] {
    const now = this.clock.readTime()
    const isSeen = ({ node, unreachableSince }: Process): boolean => node.name === viewer || now - (unreachableSince ?? now) < DETECTION_MS
    const viewing = this.processes.get(viewer)
    if (viewing && now - (viewing.unreachableSince ?? now) >= DETECTION_MS) return [viewer]
    return this.living.filter(isSeen).map(({ node }) => node.name)
  }

  private scheduleDemand (): void {
    this.clock.setTimer(this.opts.demandIntervalMs ?? DEMAND_INTERVAL_MS, () => this.addDemand())
  }

  private addDemand (): void {
    const model = MODELS[this.demandRounds++ % MODELS.length] as string
    for (const server of this.servers.stateById.values()) server.models.delete(model)
    for (const { node, gate } of this.living) {
      // Otherwise an announcement of the last load counts for longer than what the server reports.
      for (const backend of node.fleet.listAll()) backend.discardModelOverride(model)
      if (gate.isRunning) void node.service.requestWeights({ service: 's', model, adapter: undefined, isMore: false, waitMs: 3_000 })
    }
    this.scheduleDemand()
  }
}
