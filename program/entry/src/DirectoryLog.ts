import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerIdentity } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

/** Logs changes to the instances listed in directory responses. */
export class DirectoryLog {
  private advertised: ReadonlySet<string> = new Set()

  constructor (private readonly log: DecisionLog, private readonly mesh: Pick<InstanceMesh, 'countServingSources'>) {}

  update (identities: readonly PeerIdentity[]): void {
    const advertised = new Set(identities.map((identity) => identity.instance))
    const added = [...advertised].filter((instance) => !this.advertised.has(instance))
    const removed = [...this.advertised].filter((instance) => !advertised.has(instance))
    this.advertised = advertised
    if (added.length + removed.length === 0) return
    this.log.record(DecisionKinds.DIRECTORY_CHANGED, { added, removed, ...this.mesh.countServingSources() })
  }
}
