import { Kinds, parseItem } from '@pulleystack/config.objects'
import type { ConfigIndex } from '@pulleystack/config.replica'
import { matchLabels } from '@pulleystack/config.selectors'
import { rankMembers } from '@pulleystack/core.hashing'
import { computeReservedBytes, EntryStates, type LedgerEntry, type ShardRecord } from '@pulleystack/placement.ledger'
import type { PlanCopy, PlanGroup, PlanInput, PlanServer } from '@pulleystack/placement.planner'
import type { ListedInstance } from '@pulleystack/backend.interfaces'
import { listWantedGroups, type WantedGroup } from './listWantedGroups.js'

const DEFAULT_TOKENS_PER_SECOND = 400
// Load of one item, in units of one accelerator's throughput, above which another shard places it as well.
const MAX_LOAD_PER_SHARD = 20

export interface PlanContext {
  shard: string
  /** All shards; an item is placed in the highest ranked ones that have room for it. */
  shards: readonly string[]
  index: ConfigIndex
  record: ShardRecord
  /** Servers of the shard that were inspected and have not failed, by id. */
  alive: ReadonlyMap<string, ListedInstance>
  readDemand: (item: string) => number
  /** Whether a shard has reported that it has no room for an item. */
  hasRejected: (shard: string, item: string) => boolean
  maxLoads: number
  maxMoves: number
}

/** Builds the planner's input from the configuration, the ledger and the demand. */
export function buildPlanInput (context: PlanContext): { input: PlanInput, wanted: Map<string, WantedGroup> } {
  const all = listWantedGroups(context.index)
  const wanted = new Map([...all].filter(([item, group]) => isAssigned(context, item, group)))
  const copies = listCopies(context)
  const groups = [...wanted.values()].map((group) => buildGroup(context, group))
  groups.push(...listRetiring(context, wanted, copies))
  const groupsByItem = new Map(groups.map((group) => [group.item, group]))
  const servers = [...context.alive.values()].flatMap((server) => buildServer(context, server, groupsByItem, wanted) ?? [])
  return { input: { groups, servers, copies, quotas: readQuotas(context.index), maxLoads: context.maxLoads, maxMoves: context.maxMoves }, wanted }
}

/** Whether this shard should place an item: it is among the highest ranked shards that have not rejected it, as many as its load needs. */
function isAssigned (context: PlanContext, item: string, group: WantedGroup): boolean {
  if (context.shards.length === 1) return true
  const load = context.readDemand(item) / (group.model.spec.tokensPerSecond ?? DEFAULT_TOKENS_PER_SECOND)
  let shardsNeeded = Math.ceil(load / MAX_LOAD_PER_SHARD) || 1
  for (const shard of rankMembers(item, context.shards, (it) => it)) {
    if (shard === context.shard) return shardsNeeded > 0
    if (!context.hasRejected(shard, item)) shardsNeeded--
    if (shardsNeeded <= 0) return false
  }
  return false
}

function buildGroup (context: PlanContext, group: WantedGroup): PlanGroup {
  const { spec, partner } = group.model
  const service = context.index.findObject(Kinds.SERVICE, partner, spec.service)?.spec
  const missing = countMissingAdapters(context.record, group)
  return {
    item: group.base.item,
    partner,
    bytes: group.bytes,
    load: context.readDemand(group.base.item) / (spec.tokensPerSecond ?? DEFAULT_TOKENS_PER_SECOND),
    // If an adapter fits beside no copy, another copy is needed with room for all adapters.
    minCopies: (spec.minCopies ?? 1) + missing,
    maxCopies: Math.max(spec.maxCopies ?? Infinity, (spec.minCopies ?? 1) + missing),
    weight: service?.class === 'lookup' ? 2 : 1,
    movePenalty: service?.movePenalty ?? 1,
    allowed: listAllowed(context, partner, spec.service),
  }
}

function countMissingAdapters (record: ShardRecord, group: WantedGroup): number {
  if (group.adapters.length === 0) return 0
  const holders = Object.values(record.servers).filter((server) => server.entries.some((entry) => entry.item === group.base.item))
  if (holders.length === 0) return 0
  const complete = group.adapters.every((adapter) => holders.some((server) => hasEntryOrRoom(server, adapter.item, adapter.bytes)))
  return complete ? 0 : 1
}

function hasEntryOrRoom (server: { capacity: number, entries: LedgerEntry[] }, item: string, bytes: number): boolean {
  const usedBytes = server.entries.reduce((sum, entry) => sum + entry.bytes, 0)
  return server.entries.some((entry) => entry.item === item) || server.capacity - usedBytes >= bytes
}

function listAllowed (context: PlanContext, partner: string, serviceName: string): Set<string> {
  const service = context.index.findObject(Kinds.SERVICE, partner, serviceName)?.spec
  const allowed = new Set<string>()
  for (const server of context.alive.values()) {
    const inHall = !service?.dataHalls || service.dataHalls.includes(server.dataHall)
    if (inHall && matchLabels(service?.backendServers, context.index.readServerLabels(partner, server.id, server.labels))) allowed.add(server.id)
  }
  return allowed
}

function listCopies (context: PlanContext): PlanCopy[] {
  const copies: PlanCopy[] = []
  for (const [server, ledger] of Object.entries(context.record.servers)) {
    if (!context.alive.has(server)) continue
    for (const entry of ledger.entries) {
      if (!isAdapter(entry) && isRetained(entry)) copies.push({ item: entry.item, server, ready: entry.state === EntryStates.READY })
    }
  }
  return copies
}

/** Lists resident items that are no longer wanted in this shard: deleted models, older versions, items placed by another shard. */
function listRetiring (context: PlanContext, wanted: ReadonlyMap<string, WantedGroup>, copies: readonly PlanCopy[]): PlanGroup[] {
  const retiring = new Map<string, PlanGroup>()
  const active = new Map([...wanted.values()].map((group) => [`${group.model.partner}/${group.model.name}`, group.base.item]))
  for (const copy of copies) {
    if (wanted.has(copy.item) || retiring.has(copy.item)) continue
    const { partner, model } = parseItem(copy.item)
    const bytes = context.record.servers[copy.server]?.entries.find((entry) => entry.item === copy.item)?.bytes ?? 0
    const replacedBy = active.get(`${partner}/${model}`)
    retiring.set(copy.item, { item: copy.item, partner, bytes, load: 0, minCopies: 0, maxCopies: 0, weight: 1, movePenalty: 0, retiring: true, replacedBy })
  }
  return [...retiring.values()]
}

/**
 * The planner counts each copy with its group's current size, including adapters that are not loaded yet. `reserved`
 * adds the difference to the ledger, such as copies being unloaded or copies loaded with another size.
 */
function buildServer (
  context: PlanContext,
  server: ListedInstance,
  groupsByItem: ReadonlyMap<string, PlanGroup>,
  wanted: ReadonlyMap<string, WantedGroup>,
): PlanServer | undefined {
  const ledger = context.record.servers[server.id]
  if (!ledger || server.leaving) return undefined
  const presentItems = new Set(ledger.entries.map((entry) => entry.item))
  const copies = ledger.entries.filter((entry) => isRetained(entry) && groupsByItem.has(entry.item)).map((entry) => entry.item)
  const missing = copies.flatMap((item) => wanted.get(item)?.adapters ?? []).filter((adapter) => !presentItems.has(adapter.item))
  const heldBytes = computeReservedBytes(ledger) + sumBytes(missing)
  return {
    id: server.id,
    dataHall: server.dataHall,
    capacity: ledger.capacity,
    reserved: heldBytes - sumBytes(copies.flatMap((item) => groupsByItem.get(item) ?? [])),
  }
}

function sumBytes (items: readonly { bytes: number }[]): number {
  return items.reduce((sum, item) => sum + item.bytes, 0)
}

function readQuotas (index: ConfigIndex): PlanInput['quotas'] {
  const quotas = index.listObjects(Kinds.QUOTA)
  return Object.fromEntries(quotas.map(({ partner, spec }) => [partner, { share: spec.guaranteedShare, mayBorrow: spec.mayBorrow }]))
}

function isAdapter (entry: LedgerEntry): boolean {
  return parseItem(entry.item).adapter !== undefined
}

function isRetained (entry: LedgerEntry): boolean {
  return entry.state === EntryStates.LOADING || entry.state === EntryStates.READY
}
