import { rankMembers } from '@pulleystack/core.hashing'
import type { Clock } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { SNAPSHOT, type FeedSnapshot } from './channels.js'

const TIMEOUT_MS = 400
const MAX_FALLBACK_PEERS = 3

export interface PeerSnapshotsOptions {
  clock: Clock
  network: PeerNetwork
  prefix: string
  /** Name of this instance. */
  instance: string
}

/** Gets snapshots of a prefix from other instances while the store doesn't answer in time. */
export class PeerSnapshots {
  constructor (private readonly opts: PeerSnapshotsOptions) {}

  /** The peer that announced the changes, and others as a fallback. */
  choosePeers (announcer: string): string[] {
    const { network, instance } = this.opts
    const others = rankMembers(instance, network.listLinked().filter((peer) => peer !== announcer), (peer) => peer)
    return [announcer, ...others].slice(0, MAX_FALLBACK_PEERS)
  }

  /** The snapshot, in local time, of the first peer that has one after the revision that is known when it is asked; undefined if none has. */
  async request (peers: readonly string[], readRevision: () => number): Promise<FeedSnapshot | undefined> {
    const { network, prefix } = this.opts
    for (const peer of peers) {
      const answer = await network.call(peer, SNAPSHOT, { prefix, after: readRevision() }, TIMEOUT_MS)
      if (answer.isOk() && answer.value) return { ...answer.value, knownAt: this.convertTime(peer, answer.value.knownAt) }
    }
    return undefined
  }

  /**
   * Converts a time of a peer's clock into a lower bound in local time, -Infinity if unknown. The result is capped at the current time because a
   * message from the peer's previous process run may appear to be in the future; a peer of another version may send no time.
   */
  convertTime (peer: string, peerTime: number): number {
    const time = this.opts.network.convertTime(peer, peerTime) ?? -Infinity
    return Number.isNaN(time) ? -Infinity : Math.min(time, this.opts.clock.readTime())
  }
}
