import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { BackendDirectory, RevivedServers } from './BackendDirectory.js'

/** What an older copy of the store shows of servers that had gone or said that they leave. Whoever links later is told again. */
const REVIVED = defineChannel<RevivedServers>('fleet.revived', { isOnce: true })
/** An instance that begins to follow the store asks those that it is linked to already. */
const REVIVED_WANTED = defineChannel<Record<string, never>>('fleet.revived-wanted', { isOnce: true })

export interface ShareRevivedOptions {
  network: PeerNetwork
  directory: BackendDirectory
}

/**
 * Tells instances that start while the store comes back from an older copy, and know nothing else, what the others know better; gives what tells all that
 * are linked now.
 */
export function shareRevived ({ network, directory }: ShareRevivedOptions, signal: AbortSignal): () => void {
  const tell = (instance: string): void => {
    const revived = directory.describeRevived()
    if (revived) network.send(instance, REVIVED, revived)
  }
  const subscriptions = [
    network.receive(REVIVED_WANTED).subscribe(({ from }) => tell(from)),
    network.receive(REVIVED).subscribe(({ body }) => {
      if (isRevived(body)) directory.takeRevived(body)
    }),
    network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard' && event.isNewLink) tell(event.identity.instance)
    }),
  ]
  network.broadcast(REVIVED_WANTED, {})
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
  return () => {
    const revived = directory.describeRevived()
    if (revived) network.broadcast(REVIVED, revived)
  }
}

/** A peer of another version may send what is none. */
function isRevived (body: unknown): body is RevivedServers {
  const { version, servers } = (body ?? {}) as Partial<Record<keyof RevivedServers, unknown>>
  return typeof version === 'number' && Array.isArray(servers) && servers.every(isServer)
}

function isServer (item: unknown): boolean {
  return Array.isArray(item) && typeof item[0] === 'string' && typeof item[1] === 'boolean'
}
