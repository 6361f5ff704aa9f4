import type { Clock } from '@pulleystack/core.clock'
import { DecisionKinds, type WatchedDecisionLog } from '@pulleystack/timeline.decisions'
import { Counter, Gauge, Histogram, type Registry } from 'prom-client'

/** In seconds; a permit of an outage of the store is negative. */
const PERMIT_BUCKETS = [0, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5]

/** A server that a new lease holder leaves alone, with the milliseconds for which it does, where the line tells them. */
type HeldOffServer = string | readonly [backend: string, ms: number]

export interface OrderMetricsOptions {
  clock: Pick<Clock, 'readTime'>
  log: WatchedDecisionLog
  /** Milliseconds for which a server is counted as left alone if the line doesn't tell. */
  defaultHoldOffMs: number
}

/** Adds metrics of the orders that this instance sends and of the lease that it takes, read from its decision log. */
export function addOrderMetrics (registry: Registry, opts: OrderMetricsOptions): void {
  addUnanswered(registry, opts.log)
  addHolderChanges(registry, opts.log)
  addPermits(registry, opts.log)
  addLeftAlone(registry, opts)
}

function addUnanswered (registry: Registry, log: WatchedDecisionLog): void {
  const unanswered = new Counter({
    name: 'pulleystack_orders_unanswered_total',
    help: 'Copies of orders without an answer, by whether anything of them was written to a connection',
    labelNames: ['written'],
    registers: [registry],
  })
  log.watch(DecisionKinds.ORDER_UNANSWERED).subscribe((facts: { reason: string, written?: boolean }) => unanswered.inc({ written: String(facts.written ?? 'unknown') }))
}

function addHolderChanges (registry: Registry, log: WatchedDecisionLog): void {
  const changes = new Counter({
    name: 'pulleystack_holder_changes_total',
    help: 'Times that this instance has taken the lease on placement, by how the lease became free',
    labelNames: ['origin'],
    registers: [registry],
  })
  log.watch(DecisionKinds.LEASE_TAKEN).subscribe(({ origin }) => changes.inc({ origin }))
}

function addPermits (registry: Registry, log: WatchedDecisionLog): void {
  const permits = new Histogram({
    name: 'pulleystack_order_permit_seconds',
    help: 'Time for which orders could still be sent without another renewal when an order was sent; negative during an outage of the store',
    buckets: PERMIT_BUCKETS,
    registers: [registry],
  })
  log.watch(DecisionKinds.ORDER_SENT).subscribe(({ permitMs }) => permits.observe(permitMs / 1_000))
}

function addLeftAlone (registry: Registry, { clock, log, defaultHoldOffMs }: OrderMetricsOptions): void {
  let endTimes: number[] = []
  const clear = (): void => {
    endTimes = []
  }
  log.watch(DecisionKinds.LEASE_TAKEN).subscribe((facts: { heldOff: readonly HeldOffServer[] }) => {
    endTimes = facts.heldOff.map((server) => clock.readTime() + (typeof server === 'string' ? defaultHoldOffMs : server[1]))
  })
  log.watch(DecisionKinds.LEASE_LOST).subscribe(clear)
  log.watch(DecisionKinds.LEASE_HANDED_OVER).subscribe(clear)
  new Gauge({
    name: 'pulleystack_servers_left_alone',
    help: 'Backend servers that this lease holder sends no orders to, since orders of an earlier holder may still arrive there',
    registers: [registry],
    collect () {
      this.set(endTimes.filter((at) => at > clock.readTime()).length)
    },
  })
}
