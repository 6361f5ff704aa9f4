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
import { SentOrders } from './SentOrders.js'
import { reconcileServer, type Reconciliation } from './reconcileServer.js'

export interface ShardControllerOptions {
  clock: Clock
  shard: string
  lease: ShardLease
  index: ConfigIndex
  engines: EngineClient
  planner: Planner
  ring: EventRing
  budget: LoadBudget
  orderDelayMs: number
  /** Time without an answer or a report after which a server is considered failed. */
  failureTimeoutMs: number
  leaseMs: number
  createId: () => string
  listShards: () => readonly string[]
  /** Lists the engines of this shard. */
  listServers: () => ListedInstance[]
  readDemand: (item: string) => number
  /** Whether a shard has reported that it has no room for an item. */
  hasRejected: (shard: string, item: string) => boolean
  /** Returns the newest report about an engine; undefined if there is none, and the engine's inventory is read instead. */
  readReportedItems: (server: string) => ReportedItems | undefined
  /** Asks all instances to stop sending requests; returns the number in flight, undefined if an instance did not answer. */
  drain: (server: string, item: string) => Promise<number | undefined>
}

/** The items on an engine according to its newest report. */
export interface ReportedItems {
  /** Monotonic time at which the report was current. */
  reportedAt: number
  items: readonly { item: string }[]
}

/** Status of a shard for operators. */
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

const ORDER_RETRY_MS = 1_000
const INSPECTION_INTERVAL_MS = 60_000
const MAX_MOVES_PER_STEP = 1
const MAX_DRAIN_MS = 600_000
const ORDER_EXPIRY_MS = 1_500

/** Controls one placement shard: every step renews the lease, compares ledger and engines, plans, reserves memory and sends orders. */
export class ShardController {
  private readonly sentOrders: SentOrders
  private readonly lastSeenAt = new Map<string, number>()
  private readonly inspectedAt = new Map<string, number>()
  private readonly drainingSince = new Map<string, number>()
  private renewedAt = -Infinity
  private unplaced: string[] = []
  private lastSteps: Plan['steps'] = []

  constructor (private readonly opts: ShardControllerOptions) {
    this.sentOrders = new SentOrders({ clock: opts.clock, orderDelayMs: opts.orderDelayMs, retryMs: ORDER_RETRY_MS })
  }

  /** Runs one step; to be called regularly on the instance that should hold the shard. */
  async step (): Promise<void> {
    if (!await this.ensureLease()) return
    await this.updateServers()
    await this.reconcile()
    await this.advanceDrains()
    await this.applyPlan()
  }

  /** Releases the lease so that another instance can acquire it. */
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

  private async ensureLease (): Promise<boolean> {
    const { clock, lease, ring, shard } = this.opts
    if (!lease.isHeld) {
      this.sentOrders.clear()
      // A new holder sends no order to an engine before reading its inventory.
      this.inspectedAt.clear()
      if (!await lease.tryAcquire()) return false
      this.renewedAt = clock.readTime()
      ring.record(EventKinds.LEASE_TAKEN, { object: shard, fence: lease.fence })
    }
    if (clock.readTime() - this.renewedAt < this.opts.leaseMs / 3) return true
    const renewed = await lease.renew()
    if (renewed.isOk()) this.renewedAt = clock.readTime()
    else if (!lease.isHeld) ring.record(EventKinds.LEASE_LOST, { object: shard, note: renewed.error.message })
    return lease.isHeld
  }

  /** Adds new engines to the ledger and removes failed ones that are no longer listed. */
  private async updateServers (): Promise<void> {
    const record = this.opts.lease.readRecord()
    if (!record) return
    const listed = new Map(this.opts.listServers().map((server) => [server.id, server]))
    const added = [...listed.values()].filter((server) => !record.servers[server.id])
    const removed = Object.keys(record.servers).filter((id) => !listed.has(id) && this.hasFailed(id))
    if (added.length === 0 && removed.length === 0) return
    // If the engine returns, its inventory must be read again.
    for (const id of removed) this.inspectedAt.delete(id)
    await this.update((next) => {
      for (const server of added) next.servers[server.id] = { capacity: server.memoryBytes ?? 0, entries: [] }
      for (const id of removed) delete next.servers[id]
    })
  }

  private hasFailed (server: string): boolean {
    return this.opts.clock.readTime() - (this.lastSeenAt.get(server) ?? this.opts.lease.formerOrdersUntil) > this.opts.failureTimeoutMs
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
    await this.sendOrders(changed.flatMap(([server, result]) => this.listRetries(server, result)))
  }

  /** Whether to read an engine's inventory: a copy is changing state, the report is missing or differs from the ledger, or it is due. */
  private mustInspect (server: ListedInstance, record: ShardRecord): boolean {
    const ledger = record.servers[server.id]
    if (!ledger) return false
    const report = this.opts.readReportedItems(server.id)
    const now = this.opts.clock.readTime()
    if (!report || now - report.reportedAt > this.opts.failureTimeoutMs) return true
    this.lastSeenAt.set(server.id, Math.max(report.reportedAt, this.lastSeenAt.get(server.id) ?? -Infinity))
    if (now - (this.inspectedAt.get(server.id) ?? -Infinity) > INSPECTION_INTERVAL_MS) return true
    if (ledger.entries.some((entry) => entry.state !== EntryStates.READY)) return true
    const reportedItems = new Set(report.items.map((item) => item.item))
    return reportedItems.size !== ledger.entries.length || ledger.entries.some((entry) => !reportedItems.has(entry.item))
  }

  private async inspect (server: ListedInstance, record: ShardRecord): Promise<[ListedInstance, Reconciliation] | undefined> {
    const requestedAt = this.opts.clock.readTime()
    const inventory = await this.opts.engines.readInventory(server.address)
    if (inventory.isErr()) return undefined
    this.lastSeenAt.set(server.id, this.opts.clock.readTime())
    this.inspectedAt.set(server.id, this.opts.clock.readTime())
    const ledger = record.servers[server.id]
    if (!ledger) return undefined
    const formerOrdersUntil = this.opts.lease.formerOrdersUntil
    return [server, reconcileServer(ledger, inventory.value, {
      takenAt: requestedAt - inventory.value.ageMs,
      getLatestArrival: (item) => this.sentOrders.getLatestArrival(server.id, item, formerOrdersUntil),
      getOverdueAt: (item) => this.sentOrders.getOverdueAt(server.id, item, formerOrdersUntil),
    })]
  }

  private reportReconciliation (server: ListedInstance, result: Reconciliation): void {
    for (const item of result.ready) this.opts.ring.record(EventKinds.MODEL_READY, { server: server.id, model: item })
    for (const item of result.freed) this.opts.ring.record(EventKinds.BYTES_RELEASED, { server: server.id, model: item })
    for (const { item } of result.found) this.opts.ring.record(EventKinds.BYTES_RESERVED, { server: server.id, model: item, note: 'found on the engine' })
  }

  private listRetries (server: ListedInstance, result: Reconciliation): PendingOrder[] {
    const record = this.opts.lease.readRecord()
    return result.resend.flatMap((item) => {
      const entry = record && findEntry(record, server.id, item)
      if (!entry) return []
      return [{ server, entry, action: entry.state === EntryStates.LOADING ? 'load' as const : 'unload' as const }]
    })
  }

  /** Unloads draining copies that have no requests left or whose drain has timed out. */
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
    if (updated) await this.sendOrders(drained.flatMap(({ server, entry }) => this.buildPendingOrder(server, entry, 'unload')))
  }

  private async isDrained (server: string, item: string): Promise<boolean> {
    const name = `${server}|${item}`
    const since = this.drainingSince.get(name) ?? this.opts.clock.readTime()
    this.drainingSince.set(name, since)
    const inFlight = await this.opts.drain(server, item)
    const hasTimedOut = this.opts.clock.readTime() - since > MAX_DRAIN_MS
    if (inFlight !== 0 && !hasTimedOut) return false
    this.drainingSince.delete(name)
    return true
  }

  private async applyPlan (): Promise<void> {
    const record = this.opts.lease.readRecord()
    if (!record || !this.opts.lease.maySendOrders) return
    const loading = listInState(record, EntryStates.LOADING).length
    const { input, wanted } = buildPlanInput({
      shard: this.opts.shard,
      shards: this.opts.listShards(),
      index: this.opts.index,
      record,
      alive: this.listAlive(),
      readDemand: this.opts.readDemand,
      hasRejected: this.opts.hasRejected,
      maxLoads: this.opts.budget.countAvailable(loading),
      maxMoves: MAX_MOVES_PER_STEP,
    })
    const plan = this.opts.planner.plan(input)
    this.unplaced = plan.unplaced
    if (plan.steps.length > 0) this.lastSteps = plan.steps
    await this.startSteps(plan, wanted)
  }

  private listAlive (): Map<string, ListedInstance> {
    return new Map(
      this.opts.listServers().filter((server) => this.inspectedAt.has(server.id) && !this.hasFailed(server.id)).map((server) => [server.id, server]),
    )
  }

  /** Reserves the memory of all loads in one write before sending any order. */
  private async startSteps (plan: Plan, wanted: ReadonlyMap<string, WantedGroup>): Promise<void> {
    const loads: { server: string, entry: LedgerEntry }[] = []
    const record = this.opts.lease.readRecord()
    const adapters = record ? listMissingAdapters(record, wanted, (id) => !this.hasFailed(id)) : []
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
    await this.sendOrders(loads.flatMap(({ server, entry }) => this.buildPendingOrder(server, entry, 'load')))
  }

  private buildPendingOrder (serverId: string, entry: LedgerEntry, action: EngineOrder['action']): PendingOrder[] {
    const server = this.opts.listServers().find((it) => it.id === serverId)
    return server ? [{ server, entry, action }] : []
  }

  private async sendOrders (orders: readonly PendingOrder[]): Promise<void> {
    if (orders.length === 0) return
    // One write assigns all sequence numbers, by which engines detect outdated orders of the same holder.
    let first = 0
    const numbered = await this.update((next) => {
      first = next.sequence + 1
      next.sequence += orders.length
    })
    if (numbered) await Promise.all(orders.map((order, i) => this.sendOrder(order, first + i)))
  }

  private async sendOrder (pending: PendingOrder, sequence: number): Promise<void> {
    const { clock, lease, ring, engines } = this.opts
    if (!lease.maySendOrders) return
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
    this.sentOrders.recordSent(server.id, entry.item)
    ring.record(EventKinds.ORDER_SENT, { ...fields, note: `${action}, sequence ${sequence}` })
    const sent = await engines.sendOrder(server.address, order)
    this.sentOrders.recordSent(server.id, entry.item)
    if (sent.isErr()) ring.record(EventKinds.ORDER_FAILED, { ...fields, note: sent.error.message })
  }

  private async update (change: (record: ShardRecord) => void): Promise<boolean> {
    const updated = await this.opts.lease.update(change)
    if (updated.isOk()) this.renewedAt = this.opts.clock.readTime()
    return updated.isOk()
  }
}
