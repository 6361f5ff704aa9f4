import type { ReservationCounts } from '@pulleystack/routing.reservations'
import { Counter, type Registry } from 'prom-client'

/** Adds the counter of reservations that this instance asked for, by answer: granted, unanswered, or the reason of the denial. */
export function addReservationMetrics (registry: Registry, counts: ReservationCounts): void {
  new Counter({
    name: 'pulleystack_reservations_total',
    help: 'Reservations of room at model servers, by answer of the ledger\'s owner',
    labelNames: ['answer'],
    registers: [registry],
    collect () {
      this.reset()
      const answers = { granted: counts.granted, unanswered: counts.unanswered, ...counts.denied }
      for (const [answer, count] of Object.entries(answers)) this.inc({ answer }, count)
    },
  })
}
