import type { PeerNetwork } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

/** Logs the first invalid message over each link to a peer. */
export class InvalidMessages {
  private readonly loggedPeers = new Set<string>()

  constructor (private readonly log: DecisionLog) {}

  /** Logs again once a link has ended. */
  start (network: PeerNetwork, signal: AbortSignal): void {
    const subscription = network.peerEvents.subscribe((event) => {
      if (event.kind !== 'heard') this.loggedPeers.delete(event.instance)
    })
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
  }

  record (peer: string, channel: string): void {
    if (this.loggedPeers.has(peer)) return
    this.loggedPeers.add(peer)
    this.log.record(DecisionKinds.PEER_MESSAGE_INVALID, { peer, channel })
  }
}
