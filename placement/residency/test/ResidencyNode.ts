import { err } from 'neverthrow'
import { RouteTable } from '@pulleystack/config.routes'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock, type Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import type { FakeHub } from '@pulleystack/membership.fake-network'
import { ShardLease } from '@pulleystack/placement.ledger'
import { BackendFleet } from '@pulleystack/routing.fleet'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { OutageGrants, ResidencyHolder, ResidencyService } from '../src/index.js'
import type { WeightsClient } from '@pulleystack/backend.interfaces'
import { SERVING, type RecordingServers } from './RecordingServers.js'

export const TURN_MS = 3_000
export const LEASE_MS = 2_000
export const DELAY_MS = 1_000

/** One instance that may hold the lease. */
export interface Node {
  name: string
  lease: ShardLease
  service: ResidencyService
  fleet: BackendFleet
  store: FailingStore
  ended: AbortController
}

/** One instance's view of the shared store, which can stop responding or fail every operation. */
export class FailingStore extends MemoryObjectStore {
  isUnresponsive = false
  /** Monotonic time since which all operations fail; undefined while they succeed. */
  unavailableSince: number | undefined

  constructor (private readonly shared: MemoryObjectStore) {
    super({ clock: new ManualClock() })
  }

  override readObject (...args: Parameters<MemoryObjectStore['readObject']>): ReturnType<MemoryObjectStore['readObject']> {
    if (this.unavailableSince !== undefined) return Promise.resolve(err(new PulleystackError('STORE_UNAVAILABLE', 'The store is down')))
    return this.isUnresponsive ? new Promise(() => undefined) : this.shared.readObject(...args)
  }

  override writeObject (...args: Parameters<MemoryObjectStore['writeObject']>): ReturnType<MemoryObjectStore['writeObject']> {
    if (this.unavailableSince !== undefined) return Promise.resolve(err(new PulleystackError('STORE_UNAVAILABLE', 'The store is down')))
    return this.isUnresponsive ? new Promise(() => undefined) : this.shared.writeObject(...args)
  }
}

interface NodeParts {
  clock: Clock
  servers: WeightsClient & Pick<RecordingServers, 'stateById'>
  shared: MemoryObjectStore
  hub: FakeHub
  /** Live instances. */
  listNames: () => string[]
  /** All instances that may exist. */
  listAll: () => string[]
  readCapacity: (instance: string) => number
  /** Milliseconds after which an instance detects that the store is lost. */
  readDetectionMs: () => number
  /** Number of the instance's process run; 1 by default. */
  run?: number
}

/** Creates an instance that is not started. */
export function createNode (name: string, it: NodeParts): Node {
  const { clock, servers } = it
  const holderName = `${name}@${it.run ?? 1}`
  const fleet = new BackendFleet()
  const refresh = (): void => {
    for (const [id, server] of servers.stateById) {
      const models = [...server.models].map((model) => ({ name: model, adapters: [] }))
      fleet.put({ id, service: 's', address: `${id}:1`, dataHall: 'z', slots: 8, draining: false, models, inMemory: [], onDisk: [] })
    }
  }
  refresh()
  const store = new FailingStore(it.shared)
  let operations = 0
  const createOperation = (): string => `${holderName}-${operations++}`
  const lease = new ShardLease({
    clock,
    store,
    shard: 'x',
    holder: holderName,
    leaseMs: LEASE_MS,
    orderDelayMs: DELAY_MS,
    createOperationId: createOperation,
    ordersInTransit: { list: () => holder.listInTransit(), recordFormer: (orders) => holder.recordTold('stored record', orders) },
  })
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const table = new RouteTable({ version: 1, routes: [], services: [{ name: 's', maxConnections: 10, serving: SERVING }], limits })
  const log = new NullDecisionLog()
  const network = it.hub.createNode({ instance: name, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
  const grants = new OutageGrants({
    clock,
    network,
    listOtherInstances: () => it.listAll().filter((other) => other !== name),
    readStoreLostMs: () => store.unavailableSince === undefined ? 0 : Math.max(0, clock.readTime() - store.unavailableSince - it.readDetectionMs()),
    readStoreSilenceMs: () => store.unavailableSince === undefined ? 0 : clock.readTime() - store.unavailableSince,
    readFence: () => lease.fence,
    readNewestFence: () => service.newestFence,
    minHandoverGapMs: TURN_MS,
    isEnabled: true,
  })
  const holder: ResidencyHolder = new ResidencyHolder({
    clock,
    fleet,
    weights: servers,
    log,
    policy: DEFAULT_POLICY,
    readTable: () => {
      refresh()
      return table
    },
    readPermit: () => service.readPermit(),
    holderName,
    minHandoverGapMs: TURN_MS,
    onArrivalChange: (server) => service.announceArrival(server),
    onChange: (change) => service.announceWeights(change),
    onUnanswered: (reports) => service.announceUnanswered(reports),
  })
  const service: ResidencyService = new ResidencyService({
    clock,
    network,
    fleet,
    log,
    instance: name,
    lease,
    leaseMs: LEASE_MS,
    holderName,
    minHandoverGapMs: TURN_MS,
    holder,
    grants,
    listCandidates: () => it.listNames().map((instance) => ({ instance, capacity: it.readCapacity(instance) })),
    onChange: () => undefined,
  })
  return { name, lease, service, fleet, store, ended: new AbortController() }
}
