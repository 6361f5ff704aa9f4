import { isServing, type InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { ServerReports, ReportSources, shareDrainingServers, shareLimits, type BackendFleet } from '@pulleystack/routing.fleet'
import type { EntryParts } from './EntryParts.js'

export interface StatusReceiverParts extends EntryParts {
  fleet: BackendFleet
  network: PeerNetwork
  mesh: InstanceMesh
  /** Called when a server reports a changed limit. */
  onLimitChange: () => void
}

/** Receives the self-reported status of backend servers from their responses and from peers, until the signal is aborted. */
export function startStatusReceiver (
  { deps, clock, log, fleet, network, mesh, onLimitChange }: StatusReceiverParts,
  signal: AbortSignal,
): ServerReports {
  const statusReceiver = new ServerReports({ clock, log, fleet })
  shareDrainingServers({ network, fleet }, signal)
  const listStandby = (): string[] => isServing(mesh.self) ? mesh.listLinked().filter(({ standby }) => standby).map(({ instance }) => instance) : []
  shareLimits({ clock, network, fleet, listStandby, onPeerLimit: (report) => statusReceiver.recordPeerLimit(report) }, signal)
  const limitSubscription = fleet.limitChanges.subscribe(onLimitChange)
  const statusSubscription = deps.weights.statuses.subscribe(({ target, call, status }) => {
    const backend = fleet.find(target.backendId)
    const source = call === 'order' ? ReportSources.ORDER : ReportSources.REPORT
    if (backend?.entry.address === target.address) statusReceiver.apply(backend, status, source)
  })
  signal.addEventListener('abort', () => {
    limitSubscription.unsubscribe()
    statusSubscription.unsubscribe()
  }, { once: true })
  return statusReceiver
}
