import { defineChannel } from '@pulleystack/membership.peers'
import type { PlannedLoad } from './planResidency.js'
import type { DemandCount } from './DemandTracker.js'
import type { NeedAnswer, WeightsNeed } from './ResidencyClient.js'

/** The lease holder tells that it is well, and which version of the lease's record it wrote last. */
export interface HolderBeat {
  fence: number
  recordVersion: number
}
export const HOLDER_BEAT = defineChannel<HolderBeat>('residency.holder')

/** A load that an earlier holder ordered and that its server may still carry out. */
export interface InheritedLoad {
  load: PlannedLoad
  /** Milliseconds until it will likely have ended. */
  leftMs: number
}

/** What a holder leaves to its successor. */
export interface Handover {
  /** The holder as the lease names it. */
  holder: string
  /** Its fence; the same holder with another fence orders again. */
  fence: number
  /** Servers that it ordered lately, and milliseconds since. */
  ordered: [backend: string, agoMs: number][]
  /** Loads under way. */
  loads: InheritedLoad[]
}

/** The lease holder tells that it orders no more. */
export const HANDOVER = defineChannel<Handover>('residency.handover', { isOnce: true })
/** Asks the lease holder for weights. */
export const NEED = defineChannel<WeightsNeed, NeedAnswer>('residency.need')
/** What one instance was asked for over a while. */
export interface DemandReport {
  counts: DemandCount[]
  /** Milliseconds over which the requests came. */
  spanMs: number
}

/** Tells the lease holder what was asked for since the last message. */
export const DEMAND = defineChannel<DemandReport>('residency.demand')

/** A model or an adapter of it came to a server, or is to go and takes no new requests there. */
export interface WeightsChange {
  backend: string
  model: string
  /** Undefined for the model itself. */
  adapter: string | undefined
  present: boolean
}

/** The lease holder tells what came to a server or is to go. */
export const WEIGHTS = defineChannel<WeightsChange>('residency.weights', { isOnce: true })

/** What an instance says to a holder that has lost the store. */
export interface HoldOnAnswer {
  /** It has lost the store too, and leaves the lease alone for a while. */
  granted: boolean
  /** The store answered it, or one that tells it of changes, after the holder had lost it. */
  reachesStore: boolean
}

/** The holder, which lost the store so long ago, asks another instance to leave the lease alone. */
export const HOLD_ON = defineChannel<{ lostMs: number }, HoldOnAnswer>('residency.hold-on')
