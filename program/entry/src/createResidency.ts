import { randomUUID } from 'node:crypto'
import { isHeterogeneous, type RouteTable } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { WebSocketNetwork } from '@pulleystack/membership.peers'
import { MAX_CLOCK_DRIFT, ShardLease } from '@pulleystack/placement.ledger'
import { OutageGrants, ResidencyHolder, ResidencyService, parseArrivals } from '@pulleystack/placement.residency'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import type { PaceEstimate } from '@pulleystack/routing.pace'
import type { EntryParts } from './EntryParts.js'

const SHARD = 'residency'
/** Stands for the former holder whose orders were read from the store. */
const STORED_RECORD = 'stored record'

/** Dependencies of the placement of models. */
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

/** Creates the placement lease and the work that its holder does. */
export function createResidency (parts: ResidencyParts): ResidencyService {
  const { settings, deps, clock, log, fleet, network, mesh } = parts
  const processRun = `${settings.instance}@${mesh.self.incarnation}`
  // The first order of a new holder must come at least `bounds.leaseMs` after the arrival of the last one of its predecessor. The predecessor sends
  // orders until (lease - delay) after a renewal, which arrive before they time out; the new holder waits for (lease + 2 * delay + margin), so a third
  // of the bound is enough for the delay. Orders without an answer are counted for each server (OrderArrivals).
  const delayMs = parts.orderDelayMs ?? settings.bounds.leaseMs / 3
  const leaseMs = settings.bounds.leaseMs * 2 / 3
  const minHandoverGapMs = settings.bounds.leaseMs * (1 + MAX_CLOCK_DRIFT)
  const lease = new ShardLease({
    clock,
    store: deps.store,
    shard: SHARD,
    holder: processRun,
    leaseMs,
    orderDelayMs: delayMs,
    orderMarginMs: delayMs * MAX_CLOCK_DRIFT + deps.weights.orderTimeoutMs,
    createOperationId: randomUUID,
    isFirstStart: settings.isFirstStart,
    ordersInTransit: { list: () => holder.listInTransit(), recordFormer: (orders) => holder.recordTold(STORED_RECORD, parseArrivals(orders, STORED_RECORD)) },
  })
  const holder: ResidencyHolder = new ResidencyHolder({
    clock,
    fleet,
    weights: deps.weights,
    log,
    policy: parts.policy,
    readPace: (server) => readPace(fleet, server, clock.readTime()),
    readTable: parts.readTable,
    readPermit: () => residency.readPermit(),
    holderName: processRun,
    minHandoverGapMs,
    onArrivalChange: (server) => residency.announceArrival(server),
    onChange: (change) => residency.announceWeights(change),
    onUnanswered: (reports) => residency.announceUnanswered(reports),
  })
  const { policy, readStoreLostMs, readStoreAgeMs } = parts
  const grants = new OutageGrants({
    clock,
    network,
    listOtherInstances: () => mesh.listOthers(),
    readFence: () => lease.fence,
    readNewestFence: () => residency.newestFence,
    readStoreLostMs,
    readStoreSilenceMs: readStoreAgeMs,
    minHandoverGapMs,
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
    holderName: processRun,
    minHandoverGapMs,
    holder,
    grants,
    isDemandUrgent: () => parts.readTable()?.config.services.some(({ serving }) => isHeterogeneous(serving)) ?? false,
    listCandidates: () => [mesh.self, ...mesh.listServing()]
      .filter((identity) => !identity.leaving)
      .map(({ instance, capacity = 1 }) => ({ instance, capacity })),
    onChange: parts.onChange,
  })
  return residency
}

/** Undefined while the server hasn't been measured. */
function readPace (fleet: BackendFleet, server: string, now: number): PaceEstimate | undefined {
  const service = fleet.find(server)?.entry.service
  const estimate = service === undefined ? undefined : fleet.findPaces(service).read(server, now)
  return estimate && estimate.confidence > 0 ? estimate : undefined
}
