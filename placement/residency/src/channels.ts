import { defineChannel } from '@pulleystack/membership.peers'
import type { DemandCount } from './DemandTracker.js'
import type { NeedAnswer, WeightsNeed } from './ResidencyClient.js'

/** The lease holder tells that it is well. */
export const HOLDER_BEAT = defineChannel<{ fence: number }>('residency.holder')

/** What a holder leaves to its successor. */
export interface Handover {
  /** The holder as the lease names it. */
  holder: string
  /** Its fence; the same holder with another fence orders again. */
  fence: number
  /** Servers that it ordered lately, and milliseconds since. */
  ordered: [backend: string, agoMs: number][]
}

/** The lease holder tells that it orders no more. */
export const HANDOVER = defineChannel<Handover>('residency.handover')
/** Asks the lease holder for weights. */
export const NEED = defineChannel<WeightsNeed, NeedAnswer>('residency.need')
/** Tells the lease holder what was asked for since the last message. */
export const DEMAND = defineChannel<{ counts: DemandCount[] }>('residency.demand')

/** A model or an adapter of it came to a server, or is to go and takes no new requests there. */
export interface WeightsChange {
  backend: string
  model: string
  /** Undefined for the model itself. */
  adapter: string | undefined
  present: boolean
}

/** The lease holder tells what came to a server or is to go. */
export const WEIGHTS = defineChannel<WeightsChange>('residency.weights')
