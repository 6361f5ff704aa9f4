import type { Clock } from '@pulleystack/core.clock'

/** Longest time for which an order without an answer may be on its way: the platform's servers carry out orders up to 12 s late. */
const MAX_TRANSIT_MS = 12_000
/** Longer than the minimum time between the orders of two holders to a server. */
const KEEP_MS = 60_000

/** By when the latest order to a server has arrived, in milliseconds ago; negative while it may still arrive. */
export type OrderArrival = [server: string, agoMs: number]

/** Skips invalid items, which a peer of another version may send. */
export function parseArrivals (body: unknown): OrderArrival[] {
  return Array.isArray(body) ? body.filter(isArrival) : []
}

function isArrival (item: unknown): item is OrderArrival {
  return Array.isArray(item) && typeof item[0] === 'string' && typeof item[1] === 'number' && !isNaN(item[1])
}

/** A copy of an order that may be on its way. */
export interface OrderInTransit {
  server: string
  /** Monotonic time at which it was handed to a connection. */
  sentAt: number
}

/**
 * By when the orders to each server have arrived: those of this instance, and those of other holders as far as these told of them. An order without an answer
 * may arrive until `MAX_TRANSIT_MS` after it was sent, whatever becomes of its sender. The record outlasts the servers' entries and the leases.
 */
export class OrderArrivals {
  /** Copies of own orders without an answer. */
  private readonly inTransit = new Set<OrderInTransit>()
  /** Monotonic times of the latest answers to own orders, by server. */
  private readonly answeredAt = new Map<string, number>()
  /** Monotonic times by server and by the instance that told of them. */
  private readonly told = new Map<string, Map<string, number>>()

  constructor (private readonly clock: Clock) {}

  /** Records that a copy of an order is about to be sent. */
  begin (server: string): OrderInTransit {
    this.removeExpired()
    const order = { server, sentAt: this.clock.readTime() }
    this.inTransit.add(order)
    return order
  }

  /** Records that the server has answered, so that the copy has arrived. */
  settle (order: OrderInTransit): void {
    this.inTransit.delete(order)
    this.answeredAt.set(order.server, this.clock.readTime())
  }

  /** Records that nothing of a copy was sent. */
  cancel (order: OrderInTransit): void {
    this.inTransit.delete(order)
  }

  /** Records what another instance tells of its orders and of those that it was told of; replaces what it told of these servers before. */
  recordTold (instance: string, arrivals: readonly OrderArrival[]): void {
    const now = this.clock.readTime()
    this.removeExpired()
    for (const [server, agoMs] of arrivals) {
      const byInstance = this.told.get(server) ?? new Map<string, number>()
      byInstance.set(instance, now - Math.max(agoMs, -MAX_TRANSIT_MS))
      this.told.set(server, byInstance)
    }
  }

  /** Monotonic time by which all orders of other holders to the server have arrived. */
  readOthers (server: string): number {
    return Math.max(-Infinity, ...this.told.get(server)?.values() ?? [])
  }

  /** Monotonic time by which all own orders to the server that were sent before `since` have arrived, if some may still be on their way. */
  readOwnSentBefore (server: string, since: number): number {
    const sentAt = [...this.inTransit].filter((it) => it.server === server && it.sentAt < since).map((it) => it.sentAt)
    return Math.max(...sentAt) + MAX_TRANSIT_MS
  }

  /** Orders that arrived within the last `withinMs` or may still arrive, own and others'. */
  list (withinMs: number): OrderArrival[] {
    const now = this.clock.readTime()
    const servers = new Set([...this.told.keys(), ...this.answeredAt.keys(), ...[...this.inTransit].map(({ server }) => server)])
    return [...servers].map((server): OrderArrival => [server, now - this.read(server)]).filter(([, agoMs]) => agoMs < withinMs)
  }

  /** The same for one server. */
  describe (server: string): OrderArrival {
    return [server, this.clock.readTime() - this.read(server)]
  }

  private read (server: string): number {
    return Math.max(this.readOthers(server), this.answeredAt.get(server) ?? -Infinity, this.readOwnSentBefore(server, Infinity))
  }

  private removeExpired (): void {
    const oldest = this.clock.readTime() - KEEP_MS
    for (const order of this.inTransit) if (order.sentAt + MAX_TRANSIT_MS < oldest) this.inTransit.delete(order)
    for (const [server, at] of this.answeredAt) if (at < oldest) this.answeredAt.delete(server)
    for (const [server, byInstance] of this.told) {
      for (const [instance, at] of byInstance) if (at < oldest) byInstance.delete(instance)
      if (byInstance.size === 0) this.told.delete(server)
    }
  }
}
