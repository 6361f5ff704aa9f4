import type { Clock } from '@pulleystack/core.clock'

/** Times at which this holder last sent an order for each copy, by the local clock. */
export class SentOrders {
  private readonly sentAt = new Map<string, number>()

  constructor (private readonly opts: { clock: Clock, orderDelayMs: number, retryMs: number }) {}

  /** Records the current time as the latest at which an order may have been sent. */
  recordSent (server: string, item: string): void {
    this.sentAt.set(`${server}|${item}`, this.opts.clock.readTime())
  }

  /** Returns the monotonic time until which an order for the item may arrive; orders of former holders arrive until `formerOrdersUntil`. */
  getLatestArrival (server: string, item: string, formerOrdersUntil: number): number {
    const sentAt = this.sentAt.get(`${server}|${item}`)
    return Math.max(formerOrdersUntil, sentAt === undefined ? -Infinity : sentAt + this.opts.orderDelayMs)
  }

  /** Returns the monotonic time after which an order without effect is considered lost. */
  getOverdueAt (server: string, item: string, formerOrdersUntil: number): number {
    return this.getLatestArrival(server, item, formerOrdersUntil) + this.opts.retryMs
  }

  clear (): void {
    this.sentAt.clear()
  }
}
