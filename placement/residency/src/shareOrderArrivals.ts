import type { PeerNetwork } from '@pulleystack/membership.peers'
import { ORDER_ARRIVALS } from './channels.js'
import { parseArrivals } from './OrderArrivals.js'
import type { ResidencyHolder } from './ResidencyHolder.js'

/** Records what other instances tell of orders, and tells instances with a new link which orders are on their way: any of them may hold the lease next. */
export function shareOrderArrivals ({ network, holder }: { network: PeerNetwork, holder: ResidencyHolder }, signal: AbortSignal): void {
  const subscriptions = [
    network.receive(ORDER_ARRIVALS).subscribe(({ from, body }) => holder.recordTold(from, parseArrivals(body))),
    network.peerEvents.subscribe((event) => {
      if (event.kind !== 'heard' || !event.isNewLink) return
      const inTransit = holder.listInTransit()
      if (inTransit.length > 0) network.send(event.identity.instance, ORDER_ARRIVALS, inTransit)
    }),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
}
