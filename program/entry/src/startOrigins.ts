import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import { StreamOrigins, VersionHistory } from '@pulleystack/routing.origins'
import { listServing } from './describeMembership.js'
import type { EntryParts } from './EntryParts.js'

export interface OriginsParts extends EntryParts {
  mesh: InstanceMesh
  network: PeerNetwork
  fleet: BackendFleet
}

/** Starts to exchange where streams began with other instances until the signal is aborted; must be called before links to them open. */
export function startOrigins ({ settings, deps, clock, log, mesh, network, fleet }: OriginsParts, signal: AbortSignal): StreamOrigins {
  const versions = new VersionHistory({ clock, fleet })
  const isLinkedToAll = (): boolean => mesh.countRegistered() !== undefined && listServing(mesh).length + 1 >= mesh.countServingSeen()
  const origins = new StreamOrigins({
    clock,
    network,
    versions,
    log,
    instance: settings.instance,
    listServing: () => listServing(mesh),
    durable: { store: deps.store, fleet, isLinkedToAll },
  })
  origins.start(signal)
  return origins
}
