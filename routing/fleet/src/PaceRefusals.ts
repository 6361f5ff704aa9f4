import { inspect } from 'node:util'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

const MAX_VALUE_LENGTH = 80

/** Logs the first impossible pace of each peer; a faulty peer sends such values several times a second. */
export class PaceRefusals {
  private readonly loggedPeers = new Set<string>()

  constructor (private readonly log: DecisionLog | undefined) {}

  record (peer: string, refused: readonly unknown[]): void {
    const [first] = refused
    if (refused.length === 0 || this.loggedPeers.has(peer)) return
    this.loggedPeers.add(peer)
    const backend = Array.isArray(first) && typeof first[0] === 'string' ? first[0] : undefined
    const value = inspect(first, { depth: 1, breakLength: Infinity }).slice(0, MAX_VALUE_LENGTH)
    this.log?.record(DecisionKinds.PACE_REFUSED, { backend, peer, value })
  }

  /** Must be called when the link to the peer ends. */
  forget (peer: string): void {
    this.loggedPeers.delete(peer)
  }
}
