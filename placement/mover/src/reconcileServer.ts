import { EntryStates, type LedgerEntry, type ServerLedger } from '@pulleystack/placement.ledger'
import type { EngineInventory } from '@pulleystack/backend.interfaces'

/** Differences between a ledger and the inventory of its engine. */
export interface Reconciliation {
  /** Copies that the engine has finished loading. */
  ready: string[]
  /** Copies that the engine no longer holds and that no order in transit can bring back. */
  freed: string[]
  /** Items that the engine holds but the ledger does not list. */
  found: { item: string, bytes: number, state: 'loading' | 'ready' }[]
  /** Copies whose order is overdue and should be sent again. */
  resend: string[]
}

export interface ReconcileOptions {
  /** Earliest monotonic time at which the inventory may have been taken. */
  takenAt: number
  /** Returns the monotonic time until which an order for the item may still reach the engine. */
  getLatestArrival: (item: string) => number
  /** Returns the monotonic time after which an order without effect is considered lost. */
  getOverdueAt: (item: string) => number
}

/**
 * Compares a ledger with the engine's own inventory. Memory counts as free only if the inventory was taken after the
 * last time at which an order to load the item could have reached the engine.
 */
export function reconcileServer (ledger: ServerLedger, inventory: EngineInventory, opts: ReconcileOptions): Reconciliation {
  const result: Reconciliation = { ready: [], freed: [], found: [], resend: [] }
  const inventoryItems = new Map(inventory.items.map((item) => [item.item, item]))
  for (const entry of ledger.entries) reconcileEntry(entry, inventoryItems.get(entry.item)?.state, opts, result)
  const ledgerItems = new Set(ledger.entries.map((entry) => entry.item))
  result.found = inventory.items.filter((item) => !ledgerItems.has(item.item))
  return result
}

function reconcileEntry (entry: LedgerEntry, engineState: 'loading' | 'ready' | undefined, opts: ReconcileOptions, result: Reconciliation): void {
  const isSettled = opts.takenAt > opts.getLatestArrival(entry.item)
  const isOverdue = opts.takenAt > opts.getOverdueAt(entry.item)
  if (entry.state === EntryStates.LOADING) {
    if (engineState === 'ready') result.ready.push(entry.item)
    else if (engineState === undefined && isOverdue) result.resend.push(entry.item)
    return
  }
  if (engineState === undefined) {
    if (isSettled) result.freed.push(entry.item)
  } else if (entry.state === EntryStates.UNLOADING && isOverdue) result.resend.push(entry.item)
}
