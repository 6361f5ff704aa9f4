import type { Clock } from '@pulleystack/core.clock'
import { MAX_CLOCK_DRIFT } from '@pulleystack/placement.ledger'

/** Longest time that orders without an answer took until they were carried out: the platform's servers do so up to 12 s late. */
const LONGEST_DELAY_MS = 12_000
/** An order waits as long for its connection at most. */
const MAX_CONNECT_MS = 350
/** Time after which an order without an answer can't arrive any more, by any clock. */
export const MAX_TRANSIT_MS = (LONGEST_DELAY_MS + MAX_CONNECT_MS) * (1 + MAX_CLOCK_DRIFT)
/** Longer than the minimum time between the orders of two holders to a server. */
const KEEP_MS = 60_000

/** By when the latest order of a holder to a server has arrived, in milliseconds ago; negative while it may still arrive. */
export type OrderArrival = [server: string, agoMs: number, holder: string]

/** Skips invalid items, which a peer of another version may send. Items of earlier releases name no holder: they are of the instance that sends them. */
export function parseArrivals (body: unknown, from: string): OrderArrival[] {
  if (!Array.isArray(body)) return []
  return body.filter(isArrival).map(([server, agoMs, holder]): OrderArrival => [server, agoMs, typeof holder === 'string' ? holder : from])
}

function isArrival (item: unknown): item is [server: string, agoMs: number, holder: unknown] {
  return Array.isArray(item) && typeof item[0] === 'string' && typeof item[1] === 'number' && !isNaN(item[1])
}

/** A copy of an order that may be on its way. */
export interface OrderInTransit {
  server: string
  /** Monotonic time at which it was handed to a connection. */
  sentAt: number
}

/**
 * By when the orders to each server have arrived: those of this process, and those of other holders as far as it was told of them. An order without an answer
 * may arrive until `MAX_TRANSIT_MS` after it was sent, whatever becomes of its sender. The record outlasts the servers' entries and the leases.
 */
export class OrderArrivals {
  /** Copies of own orders without an answer. */
  private readonly inTransit = new Set<OrderInTransit>()
  /** Monotonic times of the latest answers to own orders, by server. */
  private readonly answeredAt = new Map<string, number>()
  /** Monotonic times by server and holder. */
  private readonly told = new Map<string, Map<string, number>>()

  /** `holder`: name of this process in the lease. */
  constructor (private readonly clock: Clock, private readonly holder: string) {}

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

  /** Records what a holder tells of its own orders; replaces what was known of them. */
  recordOwn (arrivals: readonly OrderArrival[]): void {
    this.record(arrivals, (_, at) => at)
  }

  /** Records what others know of holders' orders, which may be out of date. */
  recordTold (arrivals: readonly OrderArrival[]): void {
    this.record(arrivals, Math.max)
  }

  private record (arrivals: readonly OrderArrival[], merge: (known: number, at: number) => number): void {
    const now = this.clock.readTime()
    this.removeExpired()
    for (const [server, agoMs, holder] of arrivals) {
      if (holder === this.holder) continue
      const byHolder = this.told.get(server) ?? new Map<string, number>()
      byHolder.set(holder, merge(byHolder.get(holder) ?? -Infinity, now - Math.max(agoMs, -MAX_TRANSIT_MS)))
      this.told.set(server, byHolder)
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
    const servers = new Set([...this.answeredAt.keys(), ...[...this.inTransit].map(({ server }) => server)])
    const own = [...servers].map((server) => this.describeOwn(server))
    const others = [...this.told].flatMap(([server, byHolder]) => [...byHolder].map(([holder, at]): OrderArrival => [server, now - at, holder]))
    return [...own, ...others].filter(([, agoMs]) => agoMs < withinMs)
  }

  /** By when the latest own order to a server has arrived. */
  describeOwn (server: string): OrderArrival {
    const at = Math.max(this.answeredAt.get(server) ?? -Infinity, this.readOwnSentBefore(server, Infinity))
    return [server, this.clock.readTime() - at, this.holder]
  }

  private removeExpired (): void {
    const oldest = this.clock.readTime() - KEEP_MS
    for (const order of this.inTransit) if (order.sentAt + MAX_TRANSIT_MS < oldest) this.inTransit.delete(order)
    for (const [server, at] of this.answeredAt) if (at < oldest) this.answeredAt.delete(server)
    for (const [server, byHolder] of this.told) {
      for (const [holder, at] of byHolder) if (at < oldest) byHolder.delete(holder)
      if (byHolder.size === 0) this.told.delete(server)
    }
  }
}
