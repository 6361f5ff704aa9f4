import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { BackendDirectory, StaleServers } from './BackendDirectory.js'

/** Servers whose entries in the restored store are out of date; sent again over each new link. */
const STALE_SERVERS = defineChannel<StaleServers>('fleet.revived', { isOneShot: true })
/** Sent by an instance that begins to follow the store to the peers it is already linked to. */
const STALE_SERVERS_REQUEST = defineChannel<Record<string, never>>('fleet.revived-wanted', { isOneShot: true })

export interface ShareStaleServersOptions {
  network: PeerNetwork
  directory: BackendDirectory
}

/** Tells instances that start while the store is being restored which entries are out of date. The returned function sends this to all linked instances. */
export function shareStaleServers ({ network, directory }: ShareStaleServersOptions, signal: AbortSignal): () => void {
  const sendTo = (instance: string): void => {
    const stale = directory.describeStaleServers()
    if (stale) network.send(instance, STALE_SERVERS, stale)
  }
  const subscriptions = [
    network.receive(STALE_SERVERS_REQUEST).subscribe(({ from }) => sendTo(from)),
    network.receive(STALE_SERVERS).subscribe(({ body }) => {
      if (isStaleServers(body)) directory.applyStaleServers(body)
    }),
    network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard' && event.isNewLink) sendTo(event.identity.instance)
    }),
  ]
  network.broadcast(STALE_SERVERS_REQUEST, {})
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
  return () => {
    const stale = directory.describeStaleServers()
    if (stale) network.broadcast(STALE_SERVERS, stale)
  }
}

/** Rejects invalid messages, which a peer of another version may send. */
function isStaleServers (body: unknown): body is StaleServers {
  const { version, servers } = (body ?? {}) as Partial<Record<keyof StaleServers, unknown>>
  return typeof version === 'number' && Array.isArray(servers) && servers.every(isServerItem)
}

function isServerItem (item: unknown): boolean {
  return Array.isArray(item) && typeof item[0] === 'string' && typeof item[1] === 'boolean'
}
