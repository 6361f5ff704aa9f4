import { balanceFlow, createFlow, type Flow } from './balanceFlows.js'
import type { PlanGroup, PlanInput, PlanServer, PlanStep } from './planTypes.js'

/** One accelerator while a plan is being made. */
export interface ServerState extends PlanServer {
  free: number
  /** Sum of the loads that its copies bring, with each item's load split over its copies as routing would. */
  load: number
  items: Set<string>
}

const FIRST_ROUNDS = 8

/** What would be resident after the steps so far, and how routing would spread the load over it. */
export class PlanState {
  readonly servers = new Map<string, ServerState>()
  readonly groups = new Map<string, PlanGroup>()
  readonly steps: PlanStep[] = []
  private readonly copies = new Map<string, Set<string>>()
  private readonly flows = new Map<string, Flow>()
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
      this.place(copy.item, copy.server)
      if (copy.ready) this.ready.set(copy.item, (this.ready.get(copy.item) ?? 0) + 1)
    }
    for (let round = 0; round < FIRST_ROUNDS; round++) this.balance(this.flows.keys())
  }

  countCopies (item: string): number {
    return this.copies.get(item)?.size ?? 0
  }

  countReady (item: string): number {
    return this.ready.get(item) ?? 0
  }

  listHolders (item: string): ServerState[] {
    return [...this.copies.get(item) ?? []].flatMap((id) => this.servers.get(id) ?? [])
  }

  isAllowed (group: PlanGroup, server: ServerState): boolean {
    return !server.items.has(group.item) && (group.allowed?.has(server.id) ?? true)
  }

  /** Bytes by which a partner is above its guaranteed share; negative when below. */
  computeExcess (partner: string): number {
    const quota = this.input.quotas[partner]
    return (this.usedBytes.get(partner) ?? 0) - (quota ? quota.share * this.poolBytes : this.computeUnguaranteed())
  }

  /** Whether a partner may take so many more bytes for an extra copy. */
  mayTake (partner: string, bytes: number): boolean {
    return this.computeExcess(partner) + bytes <= 0 || (this.input.quotas[partner]?.mayBorrow ?? true)
  }

  load (group: PlanGroup, server: ServerState, reason: string): void {
    this.steps.push({ action: 'load', item: group.item, server: server.id, reason })
    this.place(group.item, server.id)
    this.settle(group)
  }

  /** The bytes of an unloaded copy are not free yet; nothing else may be planned into them until they are. */
  unload (group: PlanGroup, server: ServerState, reason: string): void {
    this.steps.push({ action: 'unload', item: group.item, server: server.id, reason })
    this.copies.get(group.item)?.delete(server.id)
    server.items.delete(group.item)
    this.spread(group)
    this.settle(group)
    this.usedBytes.set(group.partner, (this.usedBytes.get(group.partner) ?? 0) - group.bytes)
  }

  private place (item: string, serverId: string): void {
    const server = this.servers.get(serverId)
    const group = this.groups.get(item)
    if (!server || !group || server.items.has(item)) return
    const holders = this.copies.get(item) ?? new Set<string>()
    this.copies.set(item, holders.add(serverId))
    server.items.add(item)
    server.free -= group.bytes
    this.usedBytes.set(group.partner, (this.usedBytes.get(group.partner) ?? 0) + group.bytes)
    this.spread(group)
  }

  /** Spreads an item's load evenly over the copies that it has now. */
  private spread (group: PlanGroup): void {
    const before = this.flows.get(group.item)
    before?.servers.forEach((server, i) => this.addLoad(server, -(before.parts[i] ?? 0)))
    const flow = createFlow(group, [...this.copies.get(group.item) ?? []])
    this.flows.set(group.item, flow)
    flow.servers.forEach((server, i) => this.addLoad(server, flow.parts[i] ?? 0))
  }

  /** Lets the load of an item and of its neighbours settle after a change. */
  private settle (group: PlanGroup): void {
    const neighbours = this.listHolders(group.item).flatMap((server) => [...server.items])
    this.balance([group.item, ...neighbours, group.item])
  }

  private balance (items: Iterable<string>): void {
    for (const item of items) {
      const flow = this.flows.get(item)
      if (!flow || flow.servers.length < 2) continue
      balanceFlow(flow, this.loads)
      for (const id of flow.servers) this.showLoad(id)
    }
  }

  private addLoad (server: string, load: number): void {
    this.loads.set(server, (this.loads.get(server) ?? 0) + load)
    this.showLoad(server)
  }

  private showLoad (id: string): void {
    const server = this.servers.get(id)
    if (server) server.load = this.loads.get(id) ?? 0
  }

  private computeUnguaranteed (): number {
    const guaranteed = Object.values(this.input.quotas).reduce((sum, quota) => sum + quota.share, 0)
    return Math.max(0, 1 - guaranteed) * this.poolBytes
  }
}
