import { PulleystackError } from '@pulleystack/core.errors'
import { err, ok, type Result } from 'neverthrow'

/** States of a copy. Its memory is reserved in all of them. */
export const EntryStates = {
  /** A load was or will be ordered; whether the engine has acted on it is unknown. */
  LOADING: 'loading',
  READY: 'ready',
  /** Receives no new requests and waits for those in flight. */
  DRAINING: 'draining',
  /** An unload was or will be ordered; whether the engine has acted on it is unknown. */
  UNLOADING: 'unloading',
} as const
export type EntryState = typeof EntryStates[keyof typeof EntryStates]

/** One copy of an item on one accelerator. */
export interface LedgerEntry {
  item: string
  /** Memory of the copy in bytes: weights and, for models, the minimum KV cache. */
  bytes: number
  weights: string
  state: EntryState
  /** Id of the newest order for this copy. */
  order?: string
  sequence?: number
}

/** Capacity and copies of one accelerator. */
export interface ServerLedger {
  capacity: number
  entries: LedgerEntry[]
}

/** Server that an order of a holder may reach, with the negative milliseconds until then. */
export type StoredOrder = [server: string, agoMs: number, holder: string]

/** The stored object of one placement shard; holds lease and ledger, so that they change together. */
export interface ShardRecord {
  shard: string
  holder: string
  /** Fencing token; increases whenever another instance or process run acquires the lease. */
  fence: number
  leaseMs: number
  /** Set by a holder that has stopped and sent its last order. */
  released: boolean
  /** Highest sequence number assigned to an order. */
  sequence: number
  /** Id of the newest write; shows whether a write whose response was lost took effect. */
  operation: string
  servers: Record<string, ServerLedger>
  /** Orders that might still reach servers when the record was written. */
  inTransit?: StoredOrder[]
}

export function createShardRecord (shard: string): ShardRecord {
  return { shard, holder: '', fence: 0, leaseMs: 0, released: true, sequence: 0, operation: '', servers: {} }
}

/** Sums the bytes reserved on an accelerator by copies in any state. */
export function computeReservedBytes (ledger: ServerLedger): number {
  return ledger.entries.reduce((sum, entry) => sum + entry.bytes, 0)
}

export function computeFreeBytes (ledger: ServerLedger): number {
  return ledger.capacity - computeReservedBytes(ledger)
}

export function findEntry (record: ShardRecord, server: string, item: string): LedgerEntry | undefined {
  return record.servers[server]?.entries.find((entry) => entry.item === item)
}

/** Finds the servers with a copy of an item, in any state. */
export function findEntries (record: ShardRecord, item: string): { server: string, entry: LedgerEntry }[] {
  return Object.entries(record.servers).flatMap(([server, ledger]) => ledger.entries.filter((entry) => entry.item === item).map((entry) => ({ server, entry })))
}

/** Reserves the memory of an entry; MEMORY_EXCEEDED if it does not fit, or the entry exists, or the server is unknown. */
export function reserveEntry (record: ShardRecord, server: string, entry: LedgerEntry): Result<void, PulleystackError> {
  const ledger = record.servers[server]
  if (!ledger) return err(new PulleystackError('MEMORY_EXCEEDED', `Server ${server} is not in shard ${record.shard}`))
  if (ledger.entries.some((it) => it.item === entry.item)) return err(new PulleystackError('MEMORY_EXCEEDED', `${entry.item} is already on ${server}`))
  if (computeFreeBytes(ledger) < entry.bytes) {
    return err(new PulleystackError('MEMORY_EXCEEDED', `${entry.item} needs ${entry.bytes} bytes; ${server} has ${computeFreeBytes(ledger)} unreserved`))
  }
  ledger.entries.push(entry)
  return ok(undefined)
}

/** Removes an entry and releases its memory; call only after the engine has confirmed that the copy is gone. */
export function removeEntry (record: ShardRecord, server: string, item: string): void {
  const ledger = record.servers[server]
  if (ledger) ledger.entries = ledger.entries.filter((entry) => entry.item !== item)
}

export function setEntryState (record: ShardRecord, server: string, item: string, state: EntryState): void {
  const entry = findEntry(record, server, item)
  if (entry) entry.state = state
}
