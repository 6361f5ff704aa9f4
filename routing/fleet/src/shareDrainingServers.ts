import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { ServerIncarnation } from './BackendEntry.js'
import type { BackendFleet } from './BackendFleet.js'

/** Draining incarnations of servers. A lost message isn't repeated, but the server reports it again in each response. */
const DRAINING_SERVERS = defineChannel<ServerIncarnation[]>('fleet.departures', { isOneShot: true })
/** Most incarnations sent over a new link, newest first; about 40 bytes each. */
const MAX_SENT_ON_LINK = 256

/** Announces servers that report to this instance that they drain to the other instances at once, and applies the announcements of others. */
export function shareDrainingServers ({ network, fleet }: { network: PeerNetwork, fleet: BackendFleet }, signal: AbortSignal): void {
  const subscriptions = [
    fleet.drainingServers.subscribe((incarnation) => {
      network.broadcast(DRAINING_SERVERS, [incarnation])
    }),
    network.receive(DRAINING_SERVERS).subscribe(({ body }) => parseIncarnations(body).forEach((incarnation) => fleet.applyDrainingFromPeer(incarnation))),
    network.peerEvents.subscribe((event) => {
      if (event.kind !== 'heard' || !event.isNewLink) return
      const draining = fleet.listDraining(MAX_SENT_ON_LINK)
      if (draining.length > 0) network.send(event.identity.instance, DRAINING_SERVERS, draining)
    }),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
}

/** Skips invalid items, which a peer of another version may send. */
function parseIncarnations (body: unknown): ServerIncarnation[] {
  return Array.isArray(body) ? body.filter(isIncarnation) : []
}

function isIncarnation (item: unknown): item is ServerIncarnation {
  const { id, startedAt } = (item ?? {}) as Partial<Record<keyof ServerIncarnation, unknown>>
  return typeof id === 'string' && (startedAt === undefined || typeof startedAt === 'number')
}
