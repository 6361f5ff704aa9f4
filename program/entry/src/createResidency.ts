import { randomUUID } from 'node:crypto'
import type { RouteTable } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { WebSocketNetwork } from '@pulleystack/membership.peers'
import { ShardLease } from '@pulleystack/placement.ledger'
import { OutageGrants, ResidencyHolder, ResidencyService } from '@pulleystack/placement.residency'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import type { EntryParts } from './EntryParts.js'

const SHARD = 'residency'

/** What the placement of models needs of an entry instance. */
export interface ResidencyParts extends EntryParts {
  policy: Policy
  fleet: BackendFleet
  network: WebSocketNetwork
  mesh: InstanceMesh
  orderDelayMs: number | undefined
  readTable: () => RouteTable | undefined
  readStoreLostMs: () => number
  readStoreAgeMs: () => number
  onChange: () => void
}

/** The lease on placing models, and what its holder does with it. */
export function createResidency (parts: ResidencyParts): ResidencyService {
  const { settings, deps, clock, log, fleet, network, mesh } = parts
  const life = `${settings.instance}@${mesh.self.incarnation}`
  // A successor's first order must come a whole bound after the last one of its predecessor, who orders until
  // (life - delay) after a renewal; the successor waits for life + 2 delays, so that a third of the bound each is enough.
  const delayMs = parts.orderDelayMs ?? settings.bounds.leaseMs / 3
  const leaseMs = settings.bounds.leaseMs * 2 / 3
  const lease = new ShardLease({
    clock,
    store: deps.store,
    shard: SHARD,
    holder: life,
    leaseMs,
    orderDelayMs: delayMs,
    createOperationId: randomUUID,
    isFirstStart: settings.isFirstStart,
  })
  const holder = new ResidencyHolder({
    clock,
    fleet,
    weights: deps.weights,
    log,
    policy: parts.policy,
    readTable: parts.readTable,
    readPermit: () => residency.maySendOrders ? { holder: settings.instance, fence: lease.fence } : undefined,
    onChange: (change) => residency.announceWeights(change),
  })
  const { policy, readStoreLostMs, readStoreAgeMs } = parts
  const grants = new OutageGrants({
    clock,
    network,
    listOtherInstances: () => mesh.listOthers(),
    readStoreLostMs,
    readStoreSilenceMs: readStoreAgeMs,
    minHandoverGapMs: settings.bounds.leaseMs,
    isEnabled: policy.ordersInOutage,
  })
  const residency: ResidencyService = new ResidencyService({
    clock,
    network,
    fleet,
    log,
    instance: settings.instance,
    lease,
    leaseMs,
    holderName: life,
    minHandoverGapMs: settings.bounds.leaseMs,
    holder,
    grants,
    listCandidates: () => [mesh.self, ...mesh.listServing()]
      .filter((identity) => !identity.leaving)
      .map(({ instance, capacity = 1 }) => ({ instance, capacity })),
    onChange: parts.onChange,
  })
  return residency
}
