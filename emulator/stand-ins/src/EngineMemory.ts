import type { Clock } from '@pulleystack/core.clock'
import type { EngineOrder, ResidentItem } from '@pulleystack/backend.interfaces'
import type { WeightGate } from './WeightGate.js'

/** Faults to inject into the handling of orders. */
export interface EngineFaults {
  /** Number of next orders to drop; the sender sees a broken connection. */
  loseOrders: number
  /** Number of next orders that are executed, but whose response is lost. */
  loseOrderAnswers: number
  /** Milliseconds between the response to an order and its execution. */
  orderDelayMs: number
  /** Number of next orders to execute twice, the second time after `repeatAfterMs` milliseconds. */
  repeatOrders: number
  repeatAfterMs: number
}

export const OrderOutcomes = { ACCEPTED: 'accepted', REJECTED: 'refused', LOST: 'lost' } as const
export type OrderOutcome = typeof OrderOutcomes[keyof typeof OrderOutcomes]

interface MemoryItem extends ResidentItem {
  incarnation: number
}

/**
 * The accelerator memory of an engine. Loads are never rejected for lack of memory; `overcommitted` tells whether
 * orders ever exceeded the capacity.
 */
export class EngineMemory {
  readonly faults: EngineFaults = { loseOrders: 0, loseOrderAnswers: 0, orderDelayMs: 0, repeatOrders: 0, repeatAfterMs: 1 }
  overcommitted = false
  peakUsedBytes = 0
  loads = 0
  private readonly items = new Map<string, MemoryItem>()
  private fence = 0
  private sequence = 0
  private incarnation = 1

  constructor (private readonly opts: { clock: Clock, memoryBytes: number, checksFences: boolean, gate?: WeightGate, unloadMs?: number }) {}

  get usedBytes (): number {
    let sum = 0
    for (const item of this.items.values()) sum += item.bytes
    return sum
  }

  get freeBytes (): number {
    return this.opts.memoryBytes - this.usedBytes
  }

  listItems (): ResidentItem[] {
    return [...this.items.values()].map(({ item, bytes, state }) => ({ item, bytes, state }))
  }

  isReady (item: string): boolean {
    return this.items.get(item)?.state === 'ready'
  }

  /** Clears the memory, as a restart of the engine does. */
  restart (): void {
    this.incarnation++
    this.items.clear()
    this.fence = 0
    this.sequence = 0
  }

  /** Adds an item without an order, for tests that need no placement. */
  placeItem (item: string, bytes: number): void {
    this.items.set(item, { item, bytes, state: 'ready', incarnation: this.incarnation })
    this.recordUsage()
  }

  /** Handles an arriving order. The faults determine when and how often it is executed. */
  receiveOrder (order: EngineOrder): OrderOutcome {
    if (takeFault(this.faults, 'loseOrders')) return OrderOutcomes.LOST
    if (this.opts.checksFences && !this.acceptFence(order)) return OrderOutcomes.REJECTED
    const { orderDelayMs } = this.faults
    if (orderDelayMs > 0) this.opts.clock.setTimer(orderDelayMs, () => this.applyDelayedOrder(order))
    else this.applyOrder(order)
    if (takeFault(this.faults, 'repeatOrders')) this.opts.clock.setTimer(Math.max(orderDelayMs + 1, this.faults.repeatAfterMs), () => this.applyOrder(order))
    return takeFault(this.faults, 'loseOrderAnswers') ? OrderOutcomes.LOST : OrderOutcomes.ACCEPTED
  }

  private applyDelayedOrder (order: EngineOrder): void {
    if (this.opts.checksFences && (order.fence < this.fence || this.faults.orderDelayMs > order.expiresInMs)) return
    this.applyOrder(order)
  }

  private acceptFence (order: EngineOrder): boolean {
    if (order.fence < this.fence) return false
    if (order.fence === this.fence && order.sequence <= this.sequence) return false
    this.fence = order.fence
    this.sequence = order.sequence
    return true
  }

  private applyOrder (order: EngineOrder): void {
    if (order.action === 'load') this.startLoad(order)
    else this.startUnload(order)
  }

  private startLoad (order: EngineOrder): void {
    if (this.items.has(order.item)) return
    const loaded: MemoryItem = { item: order.item, bytes: order.bytes, state: 'loading', incarnation: this.incarnation }
    this.items.set(order.item, loaded)
    this.loads++
    this.recordUsage()
    void this.finishLoad(loaded)
  }

  private async finishLoad (loaded: MemoryItem): Promise<void> {
    await this.opts.gate?.load(loaded.bytes)
    if (loaded.incarnation === this.incarnation && this.items.get(loaded.item) === loaded) loaded.state = 'ready'
  }

  private startUnload (order: EngineOrder): void {
    const resident = this.items.get(order.item)
    if (!resident) return
    const finish = (): void => {
      if (this.items.get(order.item) === resident) this.items.delete(order.item)
    }
    if (this.opts.unloadMs) this.opts.clock.setTimer(this.opts.unloadMs, finish)
    else finish()
  }

  private recordUsage (): void {
    this.peakUsedBytes = Math.max(this.peakUsedBytes, this.usedBytes)
    if (this.usedBytes > this.opts.memoryBytes) this.overcommitted = true
  }
}

function takeFault (faults: EngineFaults, name: 'loseOrders' | 'loseOrderAnswers' | 'repeatOrders'): boolean {
  if (faults[name] <= 0) return false
  faults[name]--
  return true
}
