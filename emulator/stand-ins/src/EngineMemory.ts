import type { Clock } from '@pulleystack/core.clock'
import type { EngineOrder, ResidentItem } from '@pulleystack/backend.interfaces'
import type { WeightGate } from './WeightGate.js'

/** What goes wrong with orders to one engine. */
export interface EngineFaults {
  /** The next so many orders vanish; the sender sees a broken connection. */
  loseOrders: number
  /** The next so many orders act at once, but their answer is lost. */
  loseOrderAnswers: number
  /** Orders act this much later than they are answered. */
  orderDelayMs: number
  /** The next so many orders act twice, the second time so much later. */
  repeatOrders: number
  repeatAfterMs: number
}

export const OrderOutcomes = { ACCEPTED: 'accepted', REFUSED: 'refused', LOST: 'lost' } as const
export type OrderOutcome = typeof OrderOutcomes[keyof typeof OrderOutcomes]

interface HeldItem extends ResidentItem {
  life: number
}

/**
 * An engine's accelerator memory. It counts every byte that orders make it hold and refuses nothing for lack of
 * room, so that `overcommitted` tells whether the system kept its promise.
 */
export class EngineMemory {
  readonly faults: EngineFaults = { loseOrders: 0, loseOrderAnswers: 0, orderDelayMs: 0, repeatOrders: 0, repeatAfterMs: 1 }
  overcommitted = false
  highestUse = 0
  loads = 0
  private readonly items = new Map<string, HeldItem>()
  private fence = 0
  private sequence = 0
  private life = 1

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

  /** Everything resident is gone, as after a restart. */
  restart (): void {
    this.life++
    this.items.clear()
    this.fence = 0
    this.sequence = 0
  }

  /** Places an item without an order, for tests of routing alone. */
  placeItem (item: string, bytes: number): void {
    this.items.set(item, { item, bytes, state: 'ready', life: this.life })
    this.noteUse()
  }

  /** Takes an order as it arrives; faults decide when and how often it acts. */
  receiveOrder (order: EngineOrder): OrderOutcome {
    if (takeOne(this.faults, 'loseOrders')) return OrderOutcomes.LOST
    if (this.opts.checksFences && !this.acceptFence(order)) return OrderOutcomes.REFUSED
    const { orderDelayMs } = this.faults
    if (orderDelayMs > 0) this.opts.clock.setTimer(orderDelayMs, () => this.actLate(order))
    else this.act(order)
    if (takeOne(this.faults, 'repeatOrders')) this.opts.clock.setTimer(Math.max(orderDelayMs + 1, this.faults.repeatAfterMs), () => this.act(order))
    return takeOne(this.faults, 'loseOrderAnswers') ? OrderOutcomes.LOST : OrderOutcomes.ACCEPTED
  }

  private actLate (order: EngineOrder): void {
    if (this.opts.checksFences && (order.fence < this.fence || this.faults.orderDelayMs > order.expiresInMs)) return
    this.act(order)
  }

  private acceptFence (order: EngineOrder): boolean {
    if (order.fence < this.fence) return false
    if (order.fence === this.fence && order.sequence <= this.sequence) return false
    this.fence = order.fence
    this.sequence = order.sequence
    return true
  }

  private act (order: EngineOrder): void {
    if (order.action === 'load') this.startLoad(order)
    else this.startUnload(order)
  }

  private startLoad (order: EngineOrder): void {
    if (this.items.has(order.item)) return
    const held: HeldItem = { item: order.item, bytes: order.bytes, state: 'loading', life: this.life }
    this.items.set(order.item, held)
    this.loads++
    this.noteUse()
    void this.finishLoad(held)
  }

  private async finishLoad (held: HeldItem): Promise<void> {
    await this.opts.gate?.load(held.bytes)
    if (held.life === this.life && this.items.get(held.item) === held) held.state = 'ready'
  }

  private startUnload (order: EngineOrder): void {
    const held = this.items.get(order.item)
    if (!held) return
    const finish = (): void => {
      if (this.items.get(order.item) === held) this.items.delete(order.item)
    }
    if (this.opts.unloadMs) this.opts.clock.setTimer(this.opts.unloadMs, finish)
    else finish()
  }

  private noteUse (): void {
    this.highestUse = Math.max(this.highestUse, this.usedBytes)
    if (this.usedBytes > this.opts.memoryBytes) this.overcommitted = true
  }
}

function takeOne (faults: EngineFaults, name: 'loseOrders' | 'loseOrderAnswers' | 'repeatOrders'): boolean {
  if (faults[name] <= 0) return false
  faults[name]--
  return true
}
