import { Kinds, parseItem } from '@pulleystack/config.objects'
import type { ConfigIndex } from '@pulleystack/config.replica'
import { matchLabels } from '@pulleystack/config.selectors'
import { listRanked } from '@pulleystack/core.hashing'
import { computeCommitted, EntryStates, type LedgerEntry, type ShardRecord } from '@pulleystack/placement.ledger'
import type { PlanCopy, PlanGroup, PlanInput, PlanServer } from '@pulleystack/placement.planner'
import type { ListedInstance } from '@pulleystack/backend.interfaces'
import { listWantedGroups, type WantedGroup } from './listWantedGroups.js'

const DEFAULT_TOKENS_PER_SECOND = 400
// Copies of one item that a shard takes before others share the load.
const LOAD_PER_SHARD = 20

export interface PlanView {
  shard: string
  /** Every shard; an item lives in the highest ranked that can take it. */
  shards: readonly string[]
  index: ConfigIndex
  record: ShardRecord
  /** Servers of the shard that answer, by id. */
  alive: ReadonlyMap<string, ListedInstance>
  readDemand: (item: string) => number
  /** Whether a shard has said that it can't place an item. */
  hasRefused: (shard: string, item: string) => boolean
  maxLoads: number
  maxMoves: number
}

/** Builds what the planner needs from the configuration, the ledger and the demand. */
export function buildPlanInput (view: PlanView): { input: PlanInput, wanted: Map<string, WantedGroup> } {
  const all = listWantedGroups(view.index)
  const wanted = new Map([...all].filter(([item, group]) => isHome(view, item, group)))
  const copies = listCopies(view)
  const groups = [...wanted.values()].map((group) => buildGroup(view, group))
  groups.push(...listRetiring(view, wanted, copies))
  const known = new Map(groups.map((group) => [group.item, group]))
  const servers = [...view.alive.values()].flatMap((server) => buildServer(view, server, known, wanted) ?? [])
  return { input: { groups, servers, copies, quotas: readQuotas(view.index), maxLoads: view.maxLoads, maxMoves: view.maxMoves }, wanted }
}

/** True when the item falls to this shard: among those that may serve it, all ranked before have refused. */
function isHome (view: PlanView, item: string, group: WantedGroup): boolean {
  if (view.shards.length === 1) return true
  const load = view.readDemand(item) / (group.model.spec.tokensPerSecond ?? DEFAULT_TOKENS_PER_SECOND)
  let homes = Math.ceil(load / LOAD_PER_SHARD) || 1
  for (const shard of listRanked(item, view.shards, (it) => it)) {
    if (shard === view.shard) return homes > 0
    if (!view.hasRefused(shard, item)) homes--
    if (homes <= 0) return false
  }
  return false
}

function buildGroup (view: PlanView, group: WantedGroup): PlanGroup {
  const { spec, partner } = group.model
  const service = view.index.findObject(Kinds.SERVICE, partner, spec.service)?.spec
  const missing = countMissingAdapters(view.record, group)
  return {
    item: group.base.item,
    partner,
    bytes: group.bytes,
    load: view.readDemand(group.base.item) / (spec.tokensPerSecond ?? DEFAULT_TOKENS_PER_SECOND),
    // An adapter that fits beside no copy asks for one more copy with room for all.
    minCopies: (spec.minCopies ?? 1) + missing,
    maxCopies: Math.max(spec.maxCopies ?? Infinity, (spec.minCopies ?? 1) + missing),
    weight: service?.class === 'lookup' ? 2 : 1,
    movePenalty: service?.movePenalty ?? 1,
    allowed: listAllowed(view, partner, spec.service),
  }
}

function countMissingAdapters (record: ShardRecord, group: WantedGroup): number {
  if (group.adapters.length === 0) return 0
  const holders = Object.values(record.servers).filter((server) => server.entries.some((entry) => entry.item === group.base.item))
  if (holders.length === 0) return 0
  const complete = group.adapters.every((adapter) => holders.some((server) => hasOrFits(server, adapter.item, adapter.bytes)))
  return complete ? 0 : 1
}

function hasOrFits (server: { capacity: number, entries: LedgerEntry[] }, item: string, bytes: number): boolean {
  const used = server.entries.reduce((sum, entry) => sum + entry.bytes, 0)
  return server.entries.some((entry) => entry.item === item) || server.capacity - used >= bytes
}

function listAllowed (view: PlanView, partner: string, serviceName: string): Set<string> {
  const service = view.index.findObject(Kinds.SERVICE, partner, serviceName)?.spec
  const allowed = new Set<string>()
  for (const server of view.alive.values()) {
    const inHall = !service?.dataHalls || service.dataHalls.includes(server.dataHall)
    if (inHall && matchLabels(service?.backendServers, view.index.readServerLabels(partner, server.id, server.labels))) allowed.add(server.id)
  }
  return allowed
}

function listCopies (view: PlanView): PlanCopy[] {
  const copies: PlanCopy[] = []
  for (const [server, ledger] of Object.entries(view.record.servers)) {
    if (!view.alive.has(server)) continue
    for (const entry of ledger.entries) {
      if (!isAdapter(entry) && isStaying(entry)) copies.push({ item: entry.item, server, ready: entry.state === EntryStates.READY })
    }
  }
  return copies
}

/** What is resident but not wanted here any more: deleted models, older versions, items that another shard took over. */
function listRetiring (view: PlanView, wanted: ReadonlyMap<string, WantedGroup>, copies: readonly PlanCopy[]): PlanGroup[] {
  const retiring = new Map<string, PlanGroup>()
  const active = new Map([...wanted.values()].map((group) => [`${group.model.partner}/${group.model.name}`, group.base.item]))
  for (const copy of copies) {
    if (wanted.has(copy.item) || retiring.has(copy.item)) continue
    const { partner, model } = parseItem(copy.item)
    const bytes = view.record.servers[copy.server]?.entries.find((entry) => entry.item === copy.item)?.bytes ?? 0
    const replacedBy = active.get(`${partner}/${model}`)
    retiring.set(copy.item, { item: copy.item, partner, bytes, load: 0, minCopies: 0, maxCopies: 0, weight: 1, movePenalty: 0, retiring: true, replacedBy })
  }
  return [...retiring.values()]
}

/**
 * The planner counts a copy as its group's bytes; whatever the ledger holds beyond that (drains, unloads, a copy loaded
 * when the model was larger) or less (adapters still to come count as held) goes into `reserved`, so that what is
 * free to the planner is exactly what the ledger will grant.
 */
function buildServer (
  view: PlanView,
  server: ListedInstance,
  known: ReadonlyMap<string, PlanGroup>,
  wanted: ReadonlyMap<string, WantedGroup>,
): PlanServer | undefined {
  const ledger = view.record.servers[server.id]
  if (!ledger || server.leaving) return undefined
  const present = new Set(ledger.entries.map((entry) => entry.item))
  const copies = ledger.entries.filter((entry) => isStaying(entry) && known.has(entry.item)).map((entry) => entry.item)
  const missing = copies.flatMap((item) => wanted.get(item)?.adapters ?? []).filter((adapter) => !present.has(adapter.item))
  const held = computeCommitted(ledger) + sumBytes(missing)
  return { id: server.id, dataHall: server.dataHall, capacity: ledger.capacity, reserved: held - sumBytes(copies.flatMap((item) => known.get(item) ?? [])) }
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

function isStaying (entry: LedgerEntry): boolean {
  return entry.state === EntryStates.LOADING || entry.state === EntryStates.READY
}
