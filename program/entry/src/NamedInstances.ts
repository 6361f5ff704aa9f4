import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerIdentity } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

/** Logs whom answers of the directory name, whenever that changes. */
export class NamedInstances {
  private named: ReadonlySet<string> = new Set()

  constructor (private readonly log: DecisionLog, private readonly mesh: Pick<InstanceMesh, 'countServingSources'>) {}

  note (identities: readonly PeerIdentity[]): void {
    const named = new Set(identities.map((identity) => identity.instance))
    const added = [...named].filter((instance) => !this.named.has(instance))
    const removed = [...this.named].filter((instance) => !named.has(instance))
    this.named = named
    if (added.length + removed.length === 0) return
    this.log.record(DecisionKinds.DIRECTORY_CHANGED, { added, removed, ...this.mesh.countServingSources() })
  }
}
