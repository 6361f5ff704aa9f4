import { isServing, type InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { ServerReports, ReportSources, shareDrainingServers, shareLimits, type BackendFleet } from '@pulleystack/routing.fleet'
import type { EntryParts } from './EntryParts.js'

export interface StatementsParts extends EntryParts {
  fleet: BackendFleet
  network: PeerNetwork
  mesh: InstanceMesh
  /** A server named another limit than was known. */
  onLimit: () => void
}

/** Takes what backend servers say of themselves in any answer, until the signal ends. */
export function startStatements ({ deps, clock, log, fleet, network, mesh, onLimit }: StatementsParts, signal: AbortSignal): ServerReports {
  const statements = new ServerReports({ clock, log, fleet })
  shareDrainingServers({ network, fleet }, signal)
  const listStandby = (): string[] => isServing(mesh.self) ? mesh.listLinked().filter(({ standby }) => standby).map(({ instance }) => instance) : []
  shareLimits({ clock, network, fleet, listStandby, onPeerLimit: (told) => statements.recordPeerLimit(told) }, signal)
  const limits = fleet.limitChanges.subscribe(onLimit)
  const subscription = deps.weights.statuses.subscribe(({ target, call, status }) => {
    const backend = fleet.find(target.backendId)
    const source = call === 'order' ? ReportSources.ORDER : ReportSources.REPORT
    if (backend?.entry.address === target.address) statements.apply(backend, status, source)
  })
  signal.addEventListener('abort', () => {
    limits.unsubscribe()
    subscription.unsubscribe()
  }, { once: true })
  return statements
}
