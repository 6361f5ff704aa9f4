import type { RandomSource } from '@pulleystack/core.clock'
import type { Policy } from '@pulleystack/config.settings'
import { BackendQueue, type PeerForwarder } from '@pulleystack/gateway.routed'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { ResidencyService } from '@pulleystack/placement.residency'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import type { StreamOrigins } from '@pulleystack/routing.origins'
import { ServerPermits } from '@pulleystack/routing.permits'
import type { EntryParts } from './EntryParts.js'
import { describeMembership } from './describeMembership.js'

export interface QueueParts extends EntryParts {
  random: RandomSource
  policy: Policy
  mesh: InstanceMesh
  network: PeerNetwork
  fleet: BackendFleet
  residency: ResidencyService
  forwarder: PeerForwarder
  origins: StreamOrigins
}

/** Starts the queue for slots at backend servers, and the permits of servers with a limit, which all instances share until the signal is aborted. */
export function startQueue (parts: QueueParts, signal: AbortSignal): BackendQueue {
  const { settings, clock, random, log, policy, mesh, network, fleet, residency, forwarder, origins } = parts
  const permits = new ServerPermits({ clock, random, network, fleet, membership: describeMembership(mesh), onChange: () => queue.assignSlots() })
  const queue = new BackendQueue({ clock, random, fleet, permits, residency, forwarder, origins, log, dataHall: settings.dataHall, policy })
  permits.start(signal)
  return queue
}
