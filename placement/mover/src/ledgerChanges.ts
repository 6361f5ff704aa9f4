import { EntryStates, removeEntry, reserveEntry, setEntryState, type EntryState, type LedgerEntry, type ShardRecord } from '@pulleystack/placement.ledger'
import type { WantedGroup } from './listWantedGroups.js'
import type { Reconciliation } from './reconcileServer.js'

export function hasChanges (result: Reconciliation): boolean {
  return result.ready.length + result.freed.length + result.found.length + result.resend.length > 0
}

export function applyReconciliation (record: ShardRecord, server: string, result: Reconciliation): void {
  for (const item of result.ready) setEntryState(record, server, item, EntryStates.READY)
  for (const item of result.freed) removeEntry(record, server, item)
  // The engine already holds these copies, so they are recorded even if they exceed the capacity.
  for (const { item, bytes, state } of result.found) {
    record.servers[server]?.entries.push({ item, bytes, weights: '', state: state === 'ready' ? EntryStates.READY : EntryStates.LOADING })
  }
}

export function listInState (record: ShardRecord, state: EntryState): { server: string, entry: LedgerEntry }[] {
  return Object.entries(record.servers).flatMap(([server, ledger]) => ledger.entries.filter((it) => it.state === state).map((entry) => ({ server, entry })))
}

export function reserveGroup (record: ShardRecord, server: string, group: WantedGroup | undefined): { server: string, entry: LedgerEntry }[] {
  if (!group) return []
  const reserved: { server: string, entry: LedgerEntry }[] = []
  for (const { item, bytes, weights } of [group.base, ...group.adapters]) {
    const entry: LedgerEntry = { item, bytes, weights, state: EntryStates.LOADING }
    if (reserveEntry(record, server, entry).isOk()) reserved.push({ server, entry })
    else if (item === group.base.item) return []
  }
  return reserved
}

/** Drains a copy and, if its item is still wanted, the adapters of its group. */
export function drainGroup (record: ShardRecord, server: string, item: string, wanted: ReadonlyMap<string, WantedGroup>): void {
  setEntryState(record, server, item, EntryStates.DRAINING)
  const group = wanted.get(item)
  for (const adapter of group?.adapters ?? []) setEntryState(record, server, adapter.item, EntryStates.DRAINING)
}

/** Lists adapters that are missing beside a ready copy of their model. */
export function listMissingAdapters (
  record: ShardRecord,
  wanted: ReadonlyMap<string, WantedGroup>,
  isAlive: (server: string) => boolean,
): { server: string, entry: LedgerEntry }[] {
  const missing: { server: string, entry: LedgerEntry }[] = []
  for (const [server, ledger] of Object.entries(record.servers)) {
    if (!isAlive(server)) continue
    for (const resident of ledger.entries) {
      const group = resident.state === EntryStates.READY ? wanted.get(resident.item) : undefined
      for (const { item, bytes, weights } of group?.adapters ?? []) {
        if (!ledger.entries.some((it) => it.item === item)) missing.push({ server, entry: { item, bytes, weights, state: EntryStates.LOADING } })
      }
    }
  }
  return missing
}
