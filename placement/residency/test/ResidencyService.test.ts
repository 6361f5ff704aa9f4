import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ok, type Result } from 'neverthrow'
import { OrderAnswers, WeightsClient, type OrderAnswer, type WeightsOrder, type WeightsState, type WeightsTarget } from '@pulleystack/backend.interfaces'
import { RouteTable, type ModelServing } from '@pulleystack/config.routes'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { ShardLease } from '@pulleystack/placement.ledger'
import { BackendFleet } from '@pulleystack/routing.fleet'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { ResidencyHolder, ResidencyService } from '../src/index.js'

const TURN_MS = 3_000
const LEASE_MS = 2_000
const DELAY_MS = 1_000

const SERVING: ModelServing = {
  batchSlots: 8,
  cacheTokens: 100_000,
  weightsMb: 200,
  adapterSlots: 2,
  loadsPerSecond: 10,
  models: ['a', 'b', 'c', 'd'].map((name) => ({ name, weightsMb: 60, adapterMb: 1, adapters: 4, loadSeconds: 0.1, diskSeconds: 0.1, memorySeconds: 0.1 })),
}

interface ArrivedOrder {
  at: number
  server: string
  holder: string
  fence: number
}

/** Servers that count their own memory, refuse nothing that a holder could get wrong, and note who ordered when. */
class RecordingServers extends WeightsClient {
  readonly arrived: ArrivedOrder[] = []
  readonly held = new Map<string, { models: Set<string>, sequence: number }>()
  overcommitted = false

  constructor (private readonly clock: ManualClock) {
    super()
  }

  add (id: string, ...models: string[]): void {
    this.held.set(id, { models: new Set(models), sequence: 0 })
  }

  override async readState (target: WeightsTarget): Promise<Result<WeightsState, PulleystackError>> {
    const server = this.held.get(target.backendId)
    return ok({
      sequence: server?.sequence ?? 0,
      busy: false,
      models: [...server?.models ?? []].map((name) => ({ name, adapters: [] })),
      comingAdapters: [],
      inMemory: [],
      onDisk: [],
    })
  }

  override async sendOrder (target: WeightsTarget, order: WeightsOrder): Promise<Result<OrderAnswer, PulleystackError>> {
    this.arrived.push({ at: this.clock.readTime(), server: target.backendId, holder: order.holder, fence: order.fence })
    const server = this.held.get(target.backendId)
    if (!server || order.expectedSequence !== server.sequence) return ok(OrderAnswers.CONFLICT)
    server.sequence++
    if (order.action === 'load') server.models.add(order.model)
    else server.models.delete(order.model)
    if (server.models.size > 3) this.overcommitted = true
    return ok(OrderAnswers.TAKEN)
  }
}

interface Node {
  name: string
  lease: ShardLease
  service: ResidencyService
  fleet: BackendFleet
  store: CuttableStore
  ended: AbortController
}

/** The common store, which one instance may be cut off from. */
class CuttableStore extends MemoryObjectStore {
  isCut = false

  constructor (private readonly shared: MemoryObjectStore) {
    super({ clock: new ManualClock() })
  }

  override readObject (...args: Parameters<MemoryObjectStore['readObject']>): ReturnType<MemoryObjectStore['readObject']> {
    return this.isCut ? new Promise(() => undefined) : this.shared.readObject(...args)
  }

  override writeObject (...args: Parameters<MemoryObjectStore['writeObject']>): ReturnType<MemoryObjectStore['writeObject']> {
    return this.isCut ? new Promise(() => undefined) : this.shared.writeObject(...args)
  }
}

describe('instances that take turns at ordering', () => {
  let clock: ManualClock
  let servers: RecordingServers
  let nodes: Node[]
  let capacities: Map<string, number>

  const listHolders = (): string[] => nodes.filter((node) => node.service.mayOrder).map((node) => node.name)
  const ask = (node: Node, model: string): Promise<unknown> => node.service.requestWeights({ service: 's', model, adapter: undefined, isMore: false, waitMs: 3_000 })
  /** Shortest time between orders of two holders to one server. */
  const findShortestTurn = (): number => {
    const gaps = servers.arrived.flatMap((order, at) => servers.arrived.slice(0, at)
      .filter((earlier) => earlier.server === order.server && earlier.holder !== order.holder)
      .map((earlier) => order.at - earlier.at))
    return Math.min(Infinity, ...gaps)
  }

  /** Servers lose models again and again, and everybody asks for them, so that whoever may order does. */
  const churn = async (rounds: number): Promise<void> => {
    for (let round = 0; round < rounds; round++) {
      const model = 'abcd'[round % 4] as string
      for (const held of servers.held.values()) held.models.delete(model)
      for (const node of nodes) if (!node.ended.signal.aborted) void ask(node, model)
      await clock.advance(200)
    }
  }

  beforeEach(async () => {
    clock = new ManualClock()
    servers = new RecordingServers(clock)
    capacities = new Map()
    for (const id of ['r1', 'r2', 'r3']) servers.add(id, 'a', 'b', 'c')
    const shared = new MemoryObjectStore({ clock })
    const hub = new FakeHub({ clock, random: new RandomSource(1) })
    const listNames = (): string[] => nodes.filter((node) => !node.ended.signal.aborted).map((node) => node.name)
    nodes = ['n1', 'n2', 'n3'].map((name) => createNode(name, { clock, servers, shared, hub, listNames, readCapacity: (instance) => capacities.get(instance) ?? 1 }))
    for (const node of nodes) node.service.start(node.ended.signal)
    await clock.advance(6_000)
  })

  it('agree on one holder', () => {
    assert.equal(listHolders().length, 1)
  })

  it('hand over in a planned stop at once for servers that were not ordered lately, and a bound later for others', async () => {
    const first = nodes.find((node) => node.service.mayOrder) as Node
    await ask(first, 'd')
    await clock.advance(300)
    const ordered = new Set(servers.arrived.map((order) => order.server))
    assert.equal(ordered.size, 1)
    const stopping = first.service.stop()
    await clock.advance(1_000)
    await stopping
    first.ended.abort()
    await clock.advance(1_500)
    const [second] = nodes.filter((node) => node.service.mayOrder)
    assert.ok(second && second !== first)
    await clock.advance(8_000)
    assert.ok(findShortestTurn() >= TURN_MS, `turn of ${findShortestTurn()} ms`)
  })

  it('hand over when the holder alone is cut off from the store, no two of them ordering one server within the bound', async () => {
    const first = nodes.find((node) => node.service.mayOrder) as Node
    first.store.isCut = true
    await churn(60)
    assert.ok(nodes.some((node) => node !== first && node.service.mayOrder))
    assert.ok(findShortestTurn() >= TURN_MS, `turn of ${findShortestTurn()} ms`)
  })

  it('tell all others of a model that is to go before its server refuses requests for it', async () => {
    const first = nodes.find((node) => node.service.mayOrder) as Node
    const others = nodes.filter((node) => node !== first)
    const countHolding = (node: Node): number => ['r1', 'r2', 'r3'].flatMap((id) => ['a', 'b', 'c'].filter((model) => node.fleet.find(id)?.hasWeights(model))).length
    assert.deepEqual(others.map(countHolding), [9, 9])
    await ask(first, 'd')
    await clock.advance(400)
    assert.deepEqual(others.map(countHolding), [8, 8])
  })

  it('leave the lease to the most capable of those that live', async () => {
    for (const name of ['n1', 'n2', 'n3']) {
      capacities.clear()
      const first = nodes.find((node) => node.service.mayOrder) as Node
      capacities.set(name, 4)
      if (first.name === name) continue
      first.store.isCut = true
      await clock.advance(4_000)
      assert.deepEqual(listHolders(), [name])
      first.store.isCut = false
      await clock.advance(8_000)
    }
  })

  it('wait out a holder that falls silent, no two of them ordering one server within the bound', async () => {
    const first = nodes.find((node) => node.service.mayOrder) as Node
    await churn(10)
    first.ended.abort()
    first.store.isCut = true
    await churn(60)
    assert.ok(nodes.some((node) => node !== first && node.service.mayOrder))
    assert.ok(findShortestTurn() >= TURN_MS, `turn of ${findShortestTurn()} ms`)
  })

  it('never order a server over its memory', async () => {
    for (let round = 0; round < 40; round++) {
      for (const node of nodes) void ask(node, 'abcd'[round % 4] as string)
      await clock.advance(150)
    }
    assert.equal(servers.overcommitted, false)
  })
})

interface NodeParts {
  clock: ManualClock
  servers: RecordingServers
  shared: MemoryObjectStore
  hub: FakeHub
  listNames: () => string[]
  readCapacity: (instance: string) => number
}

function createNode (name: string, it: NodeParts): Node {
  const { clock, servers } = it
  const fleet = new BackendFleet()
  const refresh = (): void => {
    for (const [id, held] of servers.held) {
      const models = [...held.models].map((model) => ({ name: model, adapters: [] }))
      fleet.put({ id, service: 's', address: `${id}:1`, dataHall: 'z', slots: 8, draining: false, models, inMemory: [], onDisk: [] })
    }
  }
  refresh()
  const store = new CuttableStore(it.shared)
  let operations = 0
  const createOperation = (): string => `${name}-${operations++}`
  const lease = new ShardLease({ clock, store, shard: 'x', holder: `${name}@1`, leaseMs: LEASE_MS, orderDelayMs: DELAY_MS, createOperation })
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const table = new RouteTable({ version: 1, routes: [], services: [{ name: 's', maxConnections: 10, serving: SERVING }], limits })
  const log = new SilentDecisionLog()
  const holder = new ResidencyHolder({
    clock,
    fleet,
    weights: servers,
    log,
    readTable: () => {
      refresh()
      return table
    },
    readRight: () => service.mayOrder ? { holder: name, fence: lease.fence } : undefined,
    onChange: (change) => service.spreadWeights(change),
  })
  const network = it.hub.createNode({ instance: name, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
  const service: ResidencyService = new ResidencyService({
    clock,
    network,
    fleet,
    log,
    instance: name,
    lease,
    leaseMs: LEASE_MS,
    life: `${name}@1`,
    turnMs: TURN_MS,
    holder,
    listCandidates: () => it.listNames().map((instance) => ({ instance, capacity: it.readCapacity(instance) })),
    onChange: () => undefined,
  })
  return { name, lease, service, fleet, store, ended: new AbortController() }
}

describe('the holder of a large system whose servers come back empty', () => {
  const SERVERS = 30
  const RATE = 20
  const LOAD_SECONDS = 4

  it('loads at as many servers at once as the weight store\'s rate allows', async () => {
    const clock = new ManualClock()
    const servers = new RecordingServers(clock)
    const models = Array.from({ length: SERVERS }, (_, at) => ({ name: `m${at}`, weightsMb: 60, adapterMb: 1, adapters: 0, loadSeconds: LOAD_SECONDS, diskSeconds: LOAD_SECONDS, memorySeconds: LOAD_SECONDS }))
    const serving: ModelServing = { ...SERVING, loadsPerSecond: RATE, models }
    const fleet = new BackendFleet()
    for (let at = 0; at < SERVERS; at++) {
      servers.add(`r${at}`)
      fleet.put({ id: `r${at}`, service: 's', address: `r${at}:1`, dataHall: 'z', slots: 8, draining: false, models: [], inMemory: [], onDisk: [] })
    }
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    const table = new RouteTable({ version: 1, routes: [], services: [{ name: 's', maxConnections: 10, serving }], limits })
    const log = new SilentDecisionLog()
    const holder = new ResidencyHolder({ clock, fleet, weights: servers, log, readTable: () => table, readRight: () => ({ holder: 'h', fence: 1 }), onChange: () => undefined })
    holder.noteDemand(models.map(({ name }) => ({ service: 's', model: name, adapter: undefined, requests: 1, workMs: 100 })))
    for (let tick = 0; tick < 20; tick++) {
      holder.plan()
      await clock.advance(150)
    }
    const ordered = new Set(servers.arrived.map((order) => order.server))
    assert.ok(ordered.size > 20, `${ordered.size} servers were ordered within three seconds`)
  })
})
