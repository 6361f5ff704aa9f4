export {
  EntryStates,
  computeReservedBytes,
  computeFreeBytes,
  createShardRecord,
  findEntry,
  reserveEntry,
  removeEntry,
  setEntryState,
  findEntries,
} from './shardRecord.js'
export type { EntryState, LedgerEntry, ServerLedger, ShardRecord, StoredOrder } from './shardRecord.js'
export { LeaseOrigins, MAX_CLOCK_DRIFT, ShardLease } from './ShardLease.js'
export type { LeaseOrigin, OrdersInTransit, ShardLeaseOptions } from './ShardLease.js'
export { chooseShard, listShards, readShardMap } from './shardMap.js'
export type { ShardMap } from './shardMap.js'
