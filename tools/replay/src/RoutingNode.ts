import { ConfigIndex, type ConfigReplica } from '@pulleystack/config.replica'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import type { FakeHub } from '@pulleystack/membership.fake-network'
import type { MembershipView } from '@pulleystack/membership.view'
import { InstanceRoles, type ListedInstance, type ObjectStore } from '@pulleystack/backend.interfaces'
import { ClaimClient } from '@pulleystack/routing.claims'
import { ServiceRetryBudgets, EligibleRunners, GenerationDispatcher, SlotAllocator, type Slot } from '@pulleystack/routing.dispatch'
import { CostPicker, type Picker } from '@pulleystack/routing.picker'
import { WorkQueue } from '@pulleystack/routing.queue'
import { RunnerTable } from '@pulleystack/routing.runners'
import { EventRing } from '@pulleystack/timeline.events'
import { createView } from '@pulleystack/tools.testing'
import type { TimedEngines } from './TimedEngines.js'

const DEFAULT_STALL_MS = 1_000
const MAX_QUEUED_PER_PARTNER = 5_000

export interface RoutingNodeOptions {
  clock: Clock
  random: RandomSource
  name: string
  instanceNames: readonly string[]
  hub: FakeHub
  store: ObjectStore
  engines: TimedEngines
  replica: ConfigReplica
  /** Items that are ready on every engine. */
  items: readonly string[]
  picker?: Picker
  stallMs?: number
  createId: () => string
}

/** The routing components of one instance, connected to in-memory engines. */
export class RoutingNode {
  readonly name: string
  readonly clock: Clock
  readonly view: MembershipView
  readonly ring: EventRing
  readonly claims: ClaimClient
  readonly table = new RunnerTable()
  readonly queue: WorkQueue<Slot>
  readonly generations: GenerationDispatcher
  private readonly items: readonly string[]

  constructor (opts: RoutingNodeOptions) {
    const { clock, random, name, createId } = opts
    const { view, identity } = createView(clock, name, opts.instanceNames)
    this.name = name
    this.clock = clock
    this.view = view
    this.items = opts.items
    this.ring = new EventRing({ clock, instance: name, dataHall: 'h', capacity: 1_000 })
    const network = opts.hub.createNode(identity)
    const index = new ConfigIndex(opts.replica)
    this.table.applyServers(opts.engines.engines.map((_, i) => buildListedEngine(i)), 0)
    const eligible = new EligibleRunners({ index, replica: opts.replica, table: this.table, view })
    this.queue = new WorkQueue<Slot>({ clock, maxPerPartner: MAX_QUEUED_PER_PARTNER, getWeight: () => 1 })
    const picker = opts.picker ?? new CostPicker(random)
    const places = new SlotAllocator({ clock, random, view, index, eligible, queue: this.queue, picker, ring: this.ring })
    this.table.changes.subscribe(() => this.queue.serveWaiting())
    this.generations = new GenerationDispatcher({
      clock,
      random,
      ring: this.ring,
      slots: places,
      budgets: new ServiceRetryBudgets(),
      createId,
      engines: opts.engines,
      stallMs: opts.stallMs ?? DEFAULT_STALL_MS,
    })
    this.claims = new ClaimClient({
      clock,
      view,
      network,
      store: opts.store,
      shards: 2,
      retentionMs: 600_000,
      writesPerSecond: 40,
      createOperationId: createId,
    })
  }

  /** Applies an engine report the way a collector relays it. */
  applyReport (engines: TimedEngines, i: number, report: ReturnType<TimedEngines['takeReport']>, ageMs: number): void {
    if (!report) return
    const items = this.items.map((item) => ({ item, bytes: 1, state: 'ready' as const }))
    this.table.applyUpdate({ ...report, server: `e${i}`, everyMs: 250, items, ageMs }, this.clock.readTime())
  }
}

function buildListedEngine (i: number): ListedInstance {
  return { id: `e${i}`, role: InstanceRoles.ENGINE, address: String(i), region: 'r', dataHall: `hall-${i % 3}`, leaving: false, labels: {} }
}
