import { defineChannel } from '@pulleystack/membership.peers'
import type { PlannedLoad } from './planResidency.js'
import type { DemandCount } from './DemandTracker.js'
import type { OrderArrival } from './OrderArrivals.js'
import type { UnansweredReport } from './UnansweredLoads.js'
import type { WeightsAnswer, WeightsRequest } from './ResidencyClient.js'

/** Heartbeat of the lease holder, with the version of the lease record that it last wrote. */
export interface HolderHeartbeat {
  fence: number
  recordVersion: number
  /** Servers that orders may still reach; undefined from an earlier release. */
  inTransit?: OrderArrival[]
}
export const HOLDER_HEARTBEAT = defineChannel<HolderHeartbeat>('residency.holder')

/** A load that an earlier holder ordered and that may still be in progress. */
export interface InheritedLoad {
  load: PlannedLoad
  /** Estimated milliseconds until it ends. */
  leftMs: number
}

/** State that a lease holder passes to its successor. */
export interface Handover {
  /** The holder's name in the lease. */
  holder: string
  /** The holder's fence; the same holder with another fence has acquired the lease again. */
  fence: number
  /** Servers that orders reached recently or may still reach. */
  ordered: OrderArrival[]
  /** Loads in progress. */
  loads: InheritedLoad[]
  /** Load orders that servers may still carry out; undefined from an earlier release. */
  unanswered?: UnansweredReport[]
}

/** Announces that the lease holder sends no more orders. */
export const HANDOVER = defineChannel<Handover>('residency.handover', { isOneShot: true })
/** Load orders of the lease holder that servers may still carry out; sent at once, as it may be killed. */
export const UNANSWERED_LOADS = defineChannel<UnansweredReport[]>('residency.unanswered', { isOneShot: true })
/** Servers that the lease holder is about to send orders to, and those that its orders have reached; sent before each order, as the holder may be killed. */
export const ORDER_ARRIVALS = defineChannel<OrderArrival[]>('residency.arrivals', { isOneShot: true })
/** Requests weights from the lease holder. */
export const WEIGHTS_REQUEST = defineChannel<WeightsRequest, WeightsAnswer>('residency.need')
/** Demand at one instance over an interval. */
export interface DemandReport {
  counts: DemandCount[]
  /** Length of the interval in milliseconds. */
  spanMs: number
}

/** Reports demand to the lease holder. */
export const DEMAND_REPORT = defineChannel<DemandReport>('residency.demand')

/** A model or adapter was loaded on a server, or is about to be unloaded and accepts no new requests. */
export interface WeightsChange {
  backend: string
  model: string
  /** Undefined when the change concerns the model itself. */
  adapter: string | undefined
  present: boolean
}

/** Announces that weights were loaded or are about to be unloaded. */
export const WEIGHTS_CHANGE = defineChannel<WeightsChange>('residency.weights', { isOneShot: true })

/** Answer to a lease holder that has lost the store. */
export interface OutageGrantAnswer {
  /** This instance has lost the store too and won't acquire the lease for a while. */
  granted: boolean
  /** This instance reached the store, directly or through a peer, after the holder had lost it. */
  reachesStore: boolean
}

/** Request of the lease holder, which lost the store `lostMs` ago. */
export interface OutageGrantRequest {
  lostMs: number
  /** Fence of its lease; undefined from an earlier release. */
  fence?: number
}

/** The holder asks another instance not to acquire the lease. */
export const OUTAGE_GRANT = defineChannel<OutageGrantRequest, OutageGrantAnswer>('residency.hold-on')
