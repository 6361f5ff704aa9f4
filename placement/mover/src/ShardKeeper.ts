import type { ConfigIndex } from '@pulleystack/config.replica'
import type { Clock } from '@pulleystack/core.clock'
import { EntryStates, findEntry, reserveEntry, setEntryState, type LedgerEntry, type ShardLease, type ShardRecord } from '@pulleystack/placement.ledger'
import type { Plan, Planner } from '@pulleystack/placement.planner'
import type { EngineClient, EngineOrder, ListedInstance } from '@pulleystack/backend.interfaces'
import { EventKinds, type EventRing } from '@pulleystack/timeline.events'
import { buildPlanInput } from './buildPlanInput.js'
import { applyReconciliation, drainGroup, hasChanges, listInState, listMissingAdapters, reserveGroup } from './ledgerChanges.js'
import type { WantedGroup } from './listWantedGroups.js'
import type { LoadBudget } from './LoadBudget.js'
import { OrderBook } from './OrderBook.js'
import { reconcileServer, type Reconciliation } from './reconcileServer.js'

export interface ShardKeeperOptions {
  clock: Clock
  shard: string
  lease: ShardLease
  index: ConfigIndex
  engines: EngineClient
  planner: Planner
  ring: EventRing
  budget: LoadBudget
  orderDelayMs: number
  /** A server that has not answered for so long is taken to be dead. */
  deadAfterMs: number
  leaseMs: number
  createId: () => string
  listShards: () => readonly string[]
  /** Engines of this shard in the instance list. */
  listServers: () => ListedInstance[]
  readDemand: (item: string) => number
  hasRefused: (shard: string, item: string) => boolean
  /** What the newest report said about an engine; undefined when none came here. Without one every engine is asked itself. */
  readHint: (server: string) => EngineHint | undefined
  /** Asks all instances to stop sending; gives what is still there, undefined when not all answered. */
  drain: (server: string, item: string) => Promise<number | undefined>
}

/** An engine as its newest report shows it. */
export interface EngineHint {
  /** Monotone time of the figures. */
  at: number
  items: readonly { item: string }[]
}

/** What people are shown about a shard. */
export interface ShardStatus {
  shard: string
  holder: string
  fence: number
  servers: ShardRecord['servers']
  unplaced: string[]
  lastSteps: Plan['steps']
}

interface PendingOrder {
  server: ListedInstance
  entry: LedgerEntry
  action: EngineOrder['action']
}

const RETRY_MS = 1_000
const INSPECT_MS = 60_000
const MAX_MOVES_PER_STEP = 1
const MAX_DRAIN_MS = 600_000
const ORDER_EXPIRY_MS = 1_500

/** Holds one placement shard: every step renews the lease, compares ledger and engines, plans, reserves and orders. */
export class ShardKeeper {
  private readonly orders: OrderBook
  private readonly heardAt = new Map<string, number>()
  private readonly inspectedAt = new Map<string, number>()
  private readonly drainingSince = new Map<string, number>()
  private renewedAt = -Infinity
  private unplaced: string[] = []
  private lastSteps: Plan['steps'] = []

  constructor (private readonly opts: ShardKeeperOptions) {
    this.orders = new OrderBook({ clock: opts.clock, orderDelayMs: opts.orderDelayMs, retryMs: RETRY_MS })
  }

  /** One turn of the instance that should hold the shard. */
  async step (): Promise<void> {
    if (!await this.ensureHeld()) return
    await this.adoptServers()
    await this.reconcile()
    await this.advanceDrains()
    await this.carryOutPlan()
  }

  /** Gives the shard to another instance. */
  async release (): Promise<void> {
    if (!this.opts.lease.isHeld) return
    await this.opts.lease.release()
    this.opts.ring.record(EventKinds.LEASE_LOST, { object: this.opts.shard, note: 'released' })
  }

  readStatus (): ShardStatus | undefined {
    const record = this.opts.lease.readRecord()
    if (!record) return undefined
    const { shard, holder, fence, servers } = record
    return { shard, holder, fence, servers, unplaced: this.unplaced, lastSteps: this.lastSteps }
  }

  listUnplaced (): string[] {
    return this.opts.lease.isHeld ? this.unplaced : []
  }

  private async ensureHeld (): Promise<boolean> {
    const { clock, lease, ring, shard } = this.opts
    if (!lease.isHeld) {
      this.orders.clear()
      // A new holder orders nothing to an engine before it has seen what that holds.
      this.inspectedAt.clear()
      if (!await lease.tryTake()) return false
      this.renewedAt = clock.readTime()
      ring.record(EventKinds.LEASE_TAKEN, { object: shard, fence: lease.fence })
    }
    if (clock.readTime() - this.renewedAt < this.opts.leaseMs / 3) return true
    const renewed = await lease.renew()
    if (renewed.isOk()) this.renewedAt = clock.readTime()
    else if (!lease.isHeld) ring.record(EventKinds.LEASE_LOST, { object: shard, note: renewed.error.message })
    return lease.isHeld
  }

  /** Takes new engines into the ledger, and out of it those that the platform has removed. */
  private async adoptServers (): Promise<void> {
    const record = this.opts.lease.readRecord()
    if (!record) return
    const listed = new Map(this.opts.listServers().map((server) => [server.id, server]))
    const fresh = [...listed.values()].filter((server) => !record.servers[server.id])
    const gone = Object.keys(record.servers).filter((id) => !listed.has(id) && this.isDead(id))
    if (fresh.length === 0 && gone.length === 0) return
    // An engine that comes back is unknown again, whatever its reports say.
    for (const id of gone) this.inspectedAt.delete(id)
    await this.update((next) => {
      for (const server of fresh) next.servers[server.id] = { capacity: server.memoryBytes ?? 0, entries: [] }
      for (const id of gone) delete next.servers[id]
    })
  }

  private isDead (server: string): boolean {
    return this.opts.clock.readTime() - (this.heardAt.get(server) ?? this.opts.lease.quietSince) > this.opts.deadAfterMs
  }

  private async reconcile (): Promise<void> {
    const record = this.opts.lease.readRecord()
    if (!record) return
    const servers = this.opts.listServers().filter((server) => this.mustInspect(server, record))
    const results = await Promise.all(servers.map((server) => this.inspect(server, record)))
    const changed = results.filter((it): it is [ListedInstance, Reconciliation] => it !== undefined && hasChanges(it[1]))
    if (changed.length === 0) return
    const updated = await this.update((next) => {
      for (const [server, result] of changed) applyReconciliation(next, server.id, result)
    })
    if (!updated) return
    for (const [server, result] of changed) this.reportReconciliation(server, result)
    await this.sendOrders(changed.flatMap(([server, result]) => this.listResends(server, result)))
  }

  /** Engines are asked when something is under way there, when a report doesn't agree with the ledger, and now and then. */
  private mustInspect (server: ListedInstance, record: ShardRecord): boolean {
    const ledger = record.servers[server.id]
    if (!ledger) return false
    const hint = this.opts.readHint(server.id)
    const now = this.opts.clock.readTime()
    if (!hint || now - hint.at > this.opts.deadAfterMs) return true
    this.heardAt.set(server.id, Math.max(hint.at, this.heardAt.get(server.id) ?? -Infinity))
    if (now - (this.inspectedAt.get(server.id) ?? -Infinity) > INSPECT_MS) return true
    if (ledger.entries.some((entry) => entry.state !== EntryStates.READY)) return true
    const shown = new Set(hint.items.map((item) => item.item))
    return shown.size !== ledger.entries.length || ledger.entries.some((entry) => !shown.has(entry.item))
  }

  private async inspect (server: ListedInstance, record: ShardRecord): Promise<[ListedInstance, Reconciliation] | undefined> {
    const askedAt = this.opts.clock.readTime()
    const inventory = await this.opts.engines.readInventory(server.address)
    if (inventory.isErr()) return undefined
    this.heardAt.set(server.id, this.opts.clock.readTime())
    this.inspectedAt.set(server.id, this.opts.clock.readTime())
    const ledger = record.servers[server.id]
    if (!ledger) return undefined
    const quietSince = this.opts.lease.quietSince
    return [server, reconcileServer(ledger, inventory.value, {
      takenAt: askedAt - inventory.value.ageMs,
      getLateUntil: (item) => this.orders.getLateUntil(server.id, item, quietSince),
      getOverdueAt: (item) => this.orders.getOverdueAt(server.id, item, quietSince),
    })]
  }

  private reportReconciliation (server: ListedInstance, result: Reconciliation): void {
    for (const item of result.ready) this.opts.ring.record(EventKinds.MODEL_READY, { server: server.id, model: item })
    for (const item of result.freed) this.opts.ring.record(EventKinds.BYTES_RELEASED, { server: server.id, model: item })
    for (const { item } of result.found) this.opts.ring.record(EventKinds.BYTES_RESERVED, { server: server.id, model: item, note: 'found on the engine' })
  }

  private listResends (server: ListedInstance, result: Reconciliation): PendingOrder[] {
    const record = this.opts.lease.readRecord()
    return result.resend.flatMap((item) => {
      const entry = record && findEntry(record, server.id, item)
      if (!entry) return []
      return [{ server, entry, action: entry.state === EntryStates.LOADING ? 'load' as const : 'unload' as const }]
    })
  }

  /** Copies that wait for their last requests are unloaded when no instance has any there. */
  private async advanceDrains (): Promise<void> {
    const record = this.opts.lease.readRecord()
    if (!record) return
    const draining = listInState(record, EntryStates.DRAINING)
    const drained: typeof draining = []
    await Promise.all(draining.map(async (it) => {
      if (await this.isDrained(it.server, it.entry.item)) drained.push(it)
    }))
    if (drained.length === 0) return
    const updated = await this.update((next) => {
      for (const { server, entry } of drained) setEntryState(next, server, entry.item, EntryStates.UNLOADING)
    })
    if (updated) await this.sendOrders(drained.flatMap(({ server, entry }) => this.buildPending(server, entry, 'unload')))
  }

  private async isDrained (server: string, item: string): Promise<boolean> {
    const name = `${server}|${item}`
    const since = this.drainingSince.get(name) ?? this.opts.clock.readTime()
    this.drainingSince.set(name, since)
    const left = await this.opts.drain(server, item)
    const late = this.opts.clock.readTime() - since > MAX_DRAIN_MS
    if (left !== 0 && !late) return false
    this.drainingSince.delete(name)
    return true
  }

  private async carryOutPlan (): Promise<void> {
    const record = this.opts.lease.readRecord()
    if (!record || !this.opts.lease.mayOrder) return
    const underWay = listInState(record, EntryStates.LOADING).length
    const { input, wanted } = buildPlanInput({
      shard: this.opts.shard,
      shards: this.opts.listShards(),
      index: this.opts.index,
      record,
      alive: this.listAlive(),
      readDemand: this.opts.readDemand,
      hasRefused: this.opts.hasRefused,
      maxLoads: this.opts.budget.countAvailable(underWay),
      maxMoves: MAX_MOVES_PER_STEP,
    })
    const plan = this.opts.planner.plan(input)
    this.unplaced = plan.unplaced
    if (plan.steps.length > 0) this.lastSteps = plan.steps
    await this.startSteps(plan, wanted)
  }

  private listAlive (): Map<string, ListedInstance> {
    return new Map(this.opts.listServers().filter((server) => this.inspectedAt.has(server.id) && !this.isDead(server.id)).map((server) => [server.id, server]))
  }

  /** Reserves for all loads in one write, and only then orders. */
  private async startSteps (plan: Plan, wanted: ReadonlyMap<string, WantedGroup>): Promise<void> {
    const loads: { server: string, entry: LedgerEntry }[] = []
    const record = this.opts.lease.readRecord()
    const adapters = record ? listMissingAdapters(record, wanted, (id) => !this.isDead(id)) : []
    if (plan.steps.length === 0 && adapters.length === 0) return
    const updated = await this.update((next) => {
      for (const step of plan.steps) {
        if (step.action === 'unload') drainGroup(next, step.server, step.item, wanted)
        else loads.push(...reserveGroup(next, step.server, wanted.get(step.item)))
      }
      for (const { server, entry } of adapters) {
        if (reserveEntry(next, server, entry).isOk()) loads.push({ server, entry })
      }
    })
    if (!updated) return
    this.opts.budget.take(loads.length)
    for (const { server, entry } of loads) this.opts.ring.record(EventKinds.BYTES_RESERVED, { server, model: entry.item, fence: this.opts.lease.fence })
    await this.sendOrders(loads.flatMap(({ server, entry }) => this.buildPending(server, entry, 'load')))
  }

  private buildPending (serverId: string, entry: LedgerEntry, action: EngineOrder['action']): PendingOrder[] {
    const server = this.opts.listServers().find((it) => it.id === serverId)
    return server ? [{ server, entry, action }] : []
  }

  private async sendOrders (orders: readonly PendingOrder[]): Promise<void> {
    if (orders.length === 0) return
    // One write numbers the whole group, so that engines can tell older orders of this holder from newer ones.
    let first = 0
    const numbered = await this.update((next) => {
      first = next.sequence + 1
      next.sequence += orders.length
    })
    if (numbered) await Promise.all(orders.map((order, i) => this.sendOrder(order, first + i)))
  }

  private async sendOrder (pending: PendingOrder, sequence: number): Promise<void> {
    const { clock, lease, ring, engines } = this.opts
    if (!lease.mayOrder) return
    const { server, entry, action } = pending
    const order: EngineOrder = {
      order: this.opts.createId(),
      action,
      item: entry.item,
      weights: entry.weights,
      bytes: entry.bytes,
      fence: lease.fence,
      sequence,
      expiresInMs: ORDER_EXPIRY_MS,
      expiresAt: clock.readWallTime() + ORDER_EXPIRY_MS,
    }
    const fields = { order: order.order, server: server.id, model: entry.item, fence: order.fence }
    this.orders.noteSent(server.id, entry.item)
    ring.record(EventKinds.ORDER_SENT, { ...fields, note: `${action}, sequence ${sequence}` })
    const sent = await engines.sendOrder(server.address, order)
    this.orders.noteSent(server.id, entry.item)
    if (sent.isErr()) ring.record(EventKinds.ORDER_FAILED, { ...fields, note: sent.error.message })
  }

  private async update (change: (record: ShardRecord) => void): Promise<boolean> {
    const updated = await this.opts.lease.update(change)
    if (updated.isOk()) this.renewedAt = this.opts.clock.readTime()
    return updated.isOk()
  }
}
