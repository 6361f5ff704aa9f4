import { balanceSplit, createEvenSplit, type LoadSplit } from './loadSplits.js'
import type { PlanGroup, PlanInput, PlanServer, PlanStep } from './planTypes.js'

/** One accelerator with the changes of the plan so far. */
export interface ServerState extends PlanServer {
  free: number
  /** Sum of the loads of its copies, with each item's load split over its copies as routing would. */
  load: number
  items: Set<string>
}

const INITIAL_BALANCING_ROUNDS = 8

/** The placement after the plan's steps so far, and how routing would distribute the load over it. */
export class PlanState {
  readonly servers = new Map<string, ServerState>()
  readonly groups = new Map<string, PlanGroup>()
  readonly steps: PlanStep[] = []
  private readonly copies = new Map<string, Set<string>>()
  private readonly splits = new Map<string, LoadSplit>()
  private readonly loads = new Map<string, number>()
  private readonly ready = new Map<string, number>()
  private readonly usedBytes = new Map<string, number>()
  private readonly poolBytes: number

  constructor (readonly input: PlanInput) {
    for (const group of input.groups) this.groups.set(group.item, group)
    for (const server of input.servers) {
      this.servers.set(server.id, { ...server, free: server.capacity - server.reserved, load: 0, items: new Set() })
    }
    this.poolBytes = input.servers.reduce((sum, server) => sum + server.capacity, 0)
    for (const copy of input.copies) {
      this.addCopy(copy.item, copy.server)
      if (copy.ready) this.ready.set(copy.item, (this.ready.get(copy.item) ?? 0) + 1)
    }
    for (let round = 0; round < INITIAL_BALANCING_ROUNDS; round++) this.balance(this.splits.keys())
  }

  countCopies (item: string): number {
    return this.copies.get(item)?.size ?? 0
  }

  countReady (item: string): number {
    return this.ready.get(item) ?? 0
  }

  listServers (item: string): ServerState[] {
    return [...this.copies.get(item) ?? []].flatMap((id) => this.servers.get(id) ?? [])
  }

  isAllowed (group: PlanGroup, server: ServerState): boolean {
    return !server.items.has(group.item) && (group.allowed?.has(server.id) ?? true)
  }

  /** Bytes by which a partner exceeds its guaranteed share; negative when it is below. */
  computeQuotaExcess (partner: string): number {
    const quota = this.input.quotas[partner]
    return (this.usedBytes.get(partner) ?? 0) - (quota ? quota.share * this.poolBytes : this.computeUnguaranteedBytes())
  }

  /** Whether a partner's quota allows this many more bytes for an extra copy. */
  mayUse (partner: string, bytes: number): boolean {
    return this.computeQuotaExcess(partner) + bytes <= 0 || (this.input.quotas[partner]?.mayBorrow ?? true)
  }

  load (group: PlanGroup, server: ServerState, reason: string): void {
    this.steps.push({ action: 'load', item: group.item, server: server.id, reason })
    this.addCopy(group.item, server.id)
    this.balanceAround(group)
  }

  /** Does not add to `free`: the memory is available only after the engine has unloaded the copy. */
  unload (group: PlanGroup, server: ServerState, reason: string): void {
    this.steps.push({ action: 'unload', item: group.item, server: server.id, reason })
    this.copies.get(group.item)?.delete(server.id)
    server.items.delete(group.item)
    this.splitEvenly(group)
    this.balanceAround(group)
    this.usedBytes.set(group.partner, (this.usedBytes.get(group.partner) ?? 0) - group.bytes)
  }

  private addCopy (item: string, serverId: string): void {
    const server = this.servers.get(serverId)
    const group = this.groups.get(item)
    if (!server || !group || server.items.has(item)) return
    const servers = this.copies.get(item) ?? new Set<string>()
    this.copies.set(item, servers.add(serverId))
    server.items.add(item)
    server.free -= group.bytes
    this.usedBytes.set(group.partner, (this.usedBytes.get(group.partner) ?? 0) + group.bytes)
    this.splitEvenly(group)
  }

  /** Splits an item's load evenly over its current copies. */
  private splitEvenly (group: PlanGroup): void {
    const before = this.splits.get(group.item)
    before?.servers.forEach((server, i) => this.addLoad(server, -(before.parts[i] ?? 0)))
    const split = createEvenSplit(group, [...this.copies.get(group.item) ?? []])
    this.splits.set(group.item, split)
    split.servers.forEach((server, i) => this.addLoad(server, split.parts[i] ?? 0))
  }

  /** Rebalances the load of an item and of all items that share an accelerator with it. */
  private balanceAround (group: PlanGroup): void {
    const neighbours = this.listServers(group.item).flatMap((server) => [...server.items])
    this.balance([group.item, ...neighbours, group.item])
  }

  private balance (items: Iterable<string>): void {
    for (const item of items) {
      const split = this.splits.get(item)
      if (!split || split.servers.length < 2) continue
      balanceSplit(split, this.loads)
      for (const id of split.servers) this.updateLoad(id)
    }
  }

  private addLoad (server: string, load: number): void {
    this.loads.set(server, (this.loads.get(server) ?? 0) + load)
    this.updateLoad(server)
  }

  private updateLoad (id: string): void {
    const server = this.servers.get(id)
    if (server) server.load = this.loads.get(id) ?? 0
  }

  private computeUnguaranteedBytes (): number {
    const guaranteed = Object.values(this.input.quotas).reduce((sum, quota) => sum + quota.share, 0)
    return Math.max(0, 1 - guaranteed) * this.poolBytes
  }
}
