import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { ServerLife } from './BackendEntry.js'
import type { BackendFleet } from './BackendFleet.js'

/** Lives of servers that said that they leave. No later message makes up for a lost one, but the server says it again in each answer. */
const DEPARTURES = defineChannel<ServerLife[]>('fleet.departures', { isOnce: true })
/** Lives that are told over a new link, the newest first; about 40 bytes each, so that it takes 10 KB at the most. */
const MAX_TOLD = 256

/** Tells the other instances at once which servers said to this one that they leave, and takes what they tell. */
export function shareDepartures ({ network, fleet }: { network: PeerNetwork, fleet: BackendFleet }, signal: AbortSignal): void {
  const subscriptions = [
    fleet.departures.subscribe((life) => {
      network.broadcast(DEPARTURES, [life])
    }),
    network.receive(DEPARTURES).subscribe(({ body }) => listLives(body).forEach((life) => fleet.takeDeparture(life))),
    network.peerEvents.subscribe((event) => {
      if (event.kind !== 'heard' || !event.isNewLink) return
      const lives = fleet.listDepartures(MAX_TOLD)
      if (lives.length > 0) network.send(event.identity.instance, DEPARTURES, lives)
    }),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
}

/** What names lives of servers; a peer of another version may send what doesn't. */
function listLives (body: unknown): ServerLife[] {
  return Array.isArray(body) ? body.filter(isLife) : []
}

function isLife (item: unknown): item is ServerLife {
  const { id, startedAt } = (item ?? {}) as Partial<Record<keyof ServerLife, unknown>>
  return typeof id === 'string' && (startedAt === undefined || typeof startedAt === 'number')
}
