import type { PeerNetwork } from '@pulleystack/membership.peers'
import { ORDER_ARRIVALS } from './channels.js'
import { parseArrivals } from './OrderArrivals.js'
import type { ResidencyHolder } from './ResidencyHolder.js'

/** Records what other instances tell of orders, and tells instances that holders' announcements didn't reach: any of them may hold the lease next. */
export function shareOrderArrivals ({ network, holder }: { network: PeerNetwork, holder: ResidencyHolder }, signal: AbortSignal): void {
  const standby = new Set<string>()
  const subscriptions = [
    network.receive(ORDER_ARRIVALS).subscribe(({ from, body }) => holder.recordTold(from, parseArrivals(body, from))),
    network.peerEvents.subscribe((event) => {
      if (event.kind !== 'heard') return
      const { instance } = event.identity
      // Announcements aren't sent to instances on standby.
      const isPromoted = standby.has(instance) && event.identity.standby !== true
      if (event.identity.standby) standby.add(instance)
      else standby.delete(instance)
      const inTransit = event.isNewLink || isPromoted ? holder.listInTransit() : []
      if (inTransit.length > 0) network.send(instance, ORDER_ARRIVALS, inTransit)
    }),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
}
