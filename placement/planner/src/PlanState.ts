import type { PlanGroup, PlanInput, PlanServer, PlanStep } from './planTypes.js'

/** One accelerator while a plan is being made. */
export interface ServerState extends PlanServer {
  free: number
  /** Sum of the loads that its copies bring. */
  load: number
  items: Set<string>
}

/** What would be resident after the steps so far; loads are spread evenly over an item's copies. */
export class PlanState {
  readonly servers = new Map<string, ServerState>()
  readonly groups = new Map<string, PlanGroup>()
  readonly steps: PlanStep[] = []
  private readonly copies = new Map<string, Set<string>>()
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

  /** Load that one copy of the item carries. */
  computeShare (group: PlanGroup): number {
    return group.load / Math.max(1, this.countCopies(group.item))
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
  }

  /** The bytes of an unloaded copy are not free yet; nothing else may be planned into them until they are. */
  unload (group: PlanGroup, server: ServerState, reason: string): void {
    this.steps.push({ action: 'unload', item: group.item, server: server.id, reason })
    const before = this.computeShare(group)
    for (const holder of this.listHolders(group.item)) holder.load -= before
    this.copies.get(group.item)?.delete(server.id)
    server.items.delete(group.item)
    const after = this.computeShare(group)
    for (const holder of this.listHolders(group.item)) holder.load += after
    this.usedBytes.set(group.partner, (this.usedBytes.get(group.partner) ?? 0) - group.bytes)
  }

  private place (item: string, serverId: string): void {
    const server = this.servers.get(serverId)
    const group = this.groups.get(item)
    if (!server || !group || server.items.has(item)) return
    const before = this.computeShare(group)
    for (const holder of this.listHolders(item)) holder.load -= before
    const holders = this.copies.get(item) ?? new Set<string>()
    this.copies.set(item, holders.add(serverId))
    server.items.add(item)
    server.free -= group.bytes
    this.usedBytes.set(group.partner, (this.usedBytes.get(group.partner) ?? 0) + group.bytes)
    const after = this.computeShare(group)
    for (const holder of this.listHolders(item)) holder.load += after
  }

  private computeUnguaranteed (): number {
    const guaranteed = Object.values(this.input.quotas).reduce((sum, quota) => sum + quota.share, 0)
    return Math.max(0, 1 - guaranteed) * this.poolBytes
  }
}
