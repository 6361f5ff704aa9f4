import type { Clock } from '@pulleystack/core.clock'

/** When this holder last ordered what, by its own clock. */
export class OrderBook {
  private readonly sent = new Map<string, number>()

  constructor (private readonly opts: { clock: Clock, orderDelayMs: number, retryMs: number }) {}

  /** Notes an order at the latest moment at which it can have left. */
  noteSent (server: string, item: string): void {
    this.sent.set(`${server}|${item}`, this.opts.clock.readTime())
  }

  /** Until when an order about the item may still arrive; `quietSince` covers those of former holders. */
  getLateUntil (server: string, item: string, quietSince: number): number {
    const sent = this.sent.get(`${server}|${item}`)
    return Math.max(quietSince, sent === undefined ? -Infinity : sent + this.opts.orderDelayMs)
  }

  getOverdueAt (server: string, item: string, quietSince: number): number {
    return this.getLateUntil(server, item, quietSince) + this.opts.retryMs
  }

  clear (): void {
    this.sent.clear()
  }
}
