import { EntryStates, type LedgerEntry, type ServerLedger } from '@pulleystack/placement.ledger'
import type { EngineInventory } from '@pulleystack/backend.interfaces'

/** What an inventory shows about a ledger. */
export interface Reconciliation {
  /** Copies that the engine now holds ready. */
  ready: string[]
  /** Copies whose bytes the engine shows to be free for good. */
  freed: string[]
  /** Items that the engine holds and the ledger does not know. */
  found: { item: string, bytes: number, state: 'loading' | 'ready' }[]
  /** Copies whose order was lost or is late, and should go again. */
  resend: string[]
}

export interface ReconcileOptions {
  /** Earliest monotone time that the inventory may show. */
  takenAt: number
  /** Time until which an order that was sent for the item may still reach the engine. */
  getLateUntil: (item: string) => number
  /** Time from which on a missing effect means that the order was lost. */
  getOverdueAt: (item: string) => number
}

/**
 * Compares a ledger with what the engine itself says. Bytes only count as free when the inventory was taken after the
 * last moment at which any order to load the item could have reached the engine.
 */
export function reconcileServer (ledger: ServerLedger, inventory: EngineInventory, opts: ReconcileOptions): Reconciliation {
  const result: Reconciliation = { ready: [], freed: [], found: [], resend: [] }
  const shown = new Map(inventory.items.map((item) => [item.item, item]))
  for (const entry of ledger.entries) reconcileEntry(entry, shown.get(entry.item)?.state, opts, result)
  const known = new Set(ledger.entries.map((entry) => entry.item))
  result.found = inventory.items.filter((item) => !known.has(item.item))
  return result
}

function reconcileEntry (entry: LedgerEntry, shown: 'loading' | 'ready' | undefined, opts: ReconcileOptions, result: Reconciliation): void {
  const isSettled = opts.takenAt > opts.getLateUntil(entry.item)
  const isOverdue = opts.takenAt > opts.getOverdueAt(entry.item)
  if (entry.state === EntryStates.LOADING) {
    if (shown === 'ready') result.ready.push(entry.item)
    else if (shown === undefined && isOverdue) result.resend.push(entry.item)
    return
  }
  if (shown === undefined) {
    if (isSettled) result.freed.push(entry.item)
  } else if (entry.state === EntryStates.UNLOADING && isOverdue) result.resend.push(entry.item)
}
