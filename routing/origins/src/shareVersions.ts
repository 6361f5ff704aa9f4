import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { InvalidMessages } from './InvalidMessages.js'
import { VERSIONS, packVersions, parseVersions, splitItems } from './messages.js'
import type { VersionHistory } from './VersionHistory.js'

export interface ShareVersionsOptions {
  network: PeerNetwork
  versions: VersionHistory
  invalid: InvalidMessages
}

/** Tells the other instances of versions that they may not have seen, as servers of a version may come and go within a moment. */
export function shareVersions ({ network, versions, invalid }: ShareVersionsOptions, signal: AbortSignal): void {
  const subscriptions = [
    versions.news.subscribe((service) => {
      for (const items of splitItems(packVersions(versions.list(service)))) network.broadcast(VERSIONS, items)
    }),
    network.receive(VERSIONS).subscribe(({ from, body }) => {
      const { items, isValid } = parseVersions(body)
      if (!isValid) invalid.record(from, VERSIONS.name)
      for (const [service, version, msAgo] of items) versions.applyFromPeer({ service, version, msAgo })
    }),
    network.peerEvents.subscribe((event) => {
      if (event.kind !== 'heard' || !event.isNewLink) return
      for (const items of splitItems(packVersions(versions.listMixed()))) network.send(event.identity.instance, VERSIONS, items)
    }),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
}
