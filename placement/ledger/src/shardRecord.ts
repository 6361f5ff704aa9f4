import { PulleystackError } from '@pulleystack/core.errors'
import { err, ok, type Result } from 'neverthrow'

/** Stages of a copy. Its bytes are reserved in every one of them. */
export const EntryStates = {
  /** A load was or will be ordered; whether the engine acted is not known. */
  LOADING: 'loading',
  READY: 'ready',
  /** Gets no new work and waits for what is in flight. */
  DRAINING: 'draining',
  /** An unload was ordered; whether the engine acted is not known. */
  UNLOADING: 'unloading',
} as const
export type EntryState = typeof EntryStates[keyof typeof EntryStates]

/** One copy of an item on one accelerator. */
export interface LedgerEntry {
  item: string
  /** Bytes that the engine will hold: weights and, for models, the KV floor. */
  bytes: number
  weights: string
  state: EntryState
  /** Newest order for this copy. */
  order?: string
  sequence?: number
}

/** One accelerator. */
export interface ServerLedger {
  capacity: number
  entries: LedgerEntry[]
}

/** The object of one placement shard: its lease and its ledger stand and change together. */
export interface ShardRecord {
  shard: string
  holder: string
  /** Counts holders; grows whenever the lease goes to another life of an instance. */
  fence: number
  leaseMs: number
  /** Set by a holder that stops and has sent its last order. */
  released: boolean
  /** Newest sequence number given to an order. */
  sequence: number
  /** Id of the newest write, by which a lost answer is recognised. */
  operation: string
  servers: Record<string, ServerLedger>
}

export function createShardRecord (shard: string): ShardRecord {
  return { shard, holder: '', fence: 0, leaseMs: 0, released: true, sequence: 0, operation: '', servers: {} }
}

/** Bytes reserved on an accelerator, whatever stage the copies are in. */
export function computeCommitted (ledger: ServerLedger): number {
  return ledger.entries.reduce((sum, entry) => sum + entry.bytes, 0)
}

export function computeFree (ledger: ServerLedger): number {
  return ledger.capacity - computeCommitted(ledger)
}

export function findEntry (record: ShardRecord, server: string, item: string): LedgerEntry | undefined {
  return record.servers[server]?.entries.find((entry) => entry.item === item)
}

/** Servers with a copy of an item, in any stage. */
export function findEntryHolders (record: ShardRecord, item: string): { server: string, entry: LedgerEntry }[] {
  return Object.entries(record.servers).flatMap(([server, ledger]) => ledger.entries.filter((entry) => entry.item === item).map((entry) => ({ server, entry })))
}

/** Reserves an entry's bytes; MEMORY_EXCEEDED when they don't fit beside all that is reserved. */
export function reserveEntry (record: ShardRecord, server: string, entry: LedgerEntry): Result<void, PulleystackError> {
  const ledger = record.servers[server]
  if (!ledger) return err(new PulleystackError('MEMORY_EXCEEDED', `Server ${server} is not in shard ${record.shard}`))
  if (ledger.entries.some((it) => it.item === entry.item)) return err(new PulleystackError('MEMORY_EXCEEDED', `${entry.item} is on ${server} already`))
  if (computeFree(ledger) < entry.bytes) {
    return err(new PulleystackError('MEMORY_EXCEEDED', `${entry.item} needs ${entry.bytes} bytes; ${server} has ${computeFree(ledger)} that nothing has reserved`))
  }
  ledger.entries.push(entry)
  return ok(undefined)
}

/** Gives an entry's bytes back. Only after the engine itself has shown that it does not hold them. */
export function removeEntry (record: ShardRecord, server: string, item: string): void {
  const ledger = record.servers[server]
  if (ledger) ledger.entries = ledger.entries.filter((entry) => entry.item !== item)
}

export function setEntryState (record: ShardRecord, server: string, item: string, state: EntryState): void {
  const entry = findEntry(record, server, item)
  if (entry) entry.state = state
}
