import { isServing, type InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { StatementIntake, StatementSources, shareDepartures, shareLimits, type BackendFleet } from '@pulleystack/routing.fleet'
import type { EntryParts } from './EntryParts.js'

export interface StatementsParts extends EntryParts {
  fleet: BackendFleet
  network: PeerNetwork
  mesh: InstanceMesh
  /** A server named another limit than was known. */
  onLimit: () => void
}

/** Takes what backend servers say of themselves in any answer, until the signal ends. */
export function startStatements ({ deps, clock, log, fleet, network, mesh, onLimit }: StatementsParts, signal: AbortSignal): StatementIntake {
  const statements = new StatementIntake({ clock, log, fleet })
  shareDepartures({ network, fleet }, signal)
  const listStandby = (): string[] => isServing(mesh.self) ? mesh.listLive().filter(({ standby }) => standby).map(({ instance }) => instance) : []
  shareLimits({ clock, network, fleet, listStandby, onNews: (told) => statements.noteTold(told) }, signal)
  const limits = fleet.limitChanges.subscribe(onLimit)
  const subscription = deps.weights.statements.subscribe(({ target, call, statement }) => {
    const backend = fleet.find(target.backendId)
    const source = call === 'order' ? StatementSources.ORDER : StatementSources.REPORT
    if (backend?.entry.address === target.address) statements.take(backend, statement, source)
  })
  signal.addEventListener('abort', () => {
    limits.unsubscribe()
    subscription.unsubscribe()
  }, { once: true })
  return statements
}
