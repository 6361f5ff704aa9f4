import type { RouteTable } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import { DEFAULT_PACE } from '@pulleystack/routing.pace'
import { Reservations } from '@pulleystack/routing.reservations'
import { addReservationMetrics } from './addReservationMetrics.js'
import { describeMembership } from './describeMembership.js'
import type { EntryMetrics } from './EntryMetrics.js'
import type { EntryParts } from './EntryParts.js'

export interface ReservationParts extends EntryParts {
  policy: Policy
  mesh: InstanceMesh
  network: PeerNetwork
  fleet: BackendFleet
  metrics: EntryMetrics
  readTable: () => RouteTable | undefined
  /** Called when a server may have room again. */
  onRoom: () => void
}

/** Starts the reservations of room at model servers, whose owners also collect the samples of the servers' paces, until the signal aborts. */
export function startReservations (parts: ReservationParts, signal: AbortSignal): Reservations {
  const { clock, log, policy, mesh, network, fleet, readTable } = parts
  const reservations = new Reservations({
    clock,
    network,
    membership: { ...describeMembership(mesh), changes: mesh.changes },
    fleet,
    log,
    policy,
    readPace: ({ id }, now) => {
      const service = policy.paceEstimates ? fleet.find(id)?.entry.service : undefined
      return service === undefined ? DEFAULT_PACE : fleet.findPaces(service).read(id, now)
    },
    recordPace: ({ id }, sample, now) => {
      const backend = policy.paceEstimates ? fleet.find(id) : undefined
      if (backend) fleet.recordPace(backend, sample, now)
    },
    onRoom: ({ id }) => {
      const backend = fleet.find(id)
      backend?.recordRoom()
      parts.onRoom()
      return backend?.reservationWindow.hasPending ?? false
    },
    findServing: (service) => readTable()?.findService(service)?.serving,
  })
  addReservationMetrics(parts.metrics.registry, reservations.counts)
  reservations.start(signal)
  return reservations
}
