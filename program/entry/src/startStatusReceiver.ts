import { isServing, type InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { StatementIntake, StatementSources, shareDepartures, shareLimits, type BackendFleet } from '@pulleystack/routing.fleet'
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
): StatementIntake {
  const statusReceiver = new StatementIntake({ clock, log, fleet })
  shareDepartures({ network, fleet }, signal)
  const listStandby = (): string[] => isServing(mesh.self) ? mesh.listLive().filter(({ standby }) => standby).map(({ instance }) => instance) : []
  shareLimits({ clock, network, fleet, listStandby, onNews: (report) => statusReceiver.noteTold(report) }, signal)
  const limitSubscription = fleet.limitChanges.subscribe(onLimitChange)
  const statusSubscription = deps.weights.statements.subscribe(({ target, call, statement }) => {
    const backend = fleet.find(target.backendId)
    const source = call === 'order' ? StatementSources.ORDER : StatementSources.REPORT
    if (backend?.entry.address === target.address) statusReceiver.take(backend, statement, source)
  })
  signal.addEventListener('abort', () => {
    limitSubscription.unsubscribe()
    statusSubscription.unsubscribe()
  }, { once: true })
  return statusReceiver
}
