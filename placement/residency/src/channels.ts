import { defineChannel } from '@pulleystack/membership.peers'
import type { DemandCount } from './DemandTracker.js'
import type { NeedAnswer, WeightsNeed } from './ResidencyClient.js'

/** The lease holder tells that it is well. */
export const HOLDER_BEAT = defineChannel<{ fence: number, stopping: boolean }>('residency.holder')
/** Asks the lease holder for weights. */
export const NEED = defineChannel<WeightsNeed, NeedAnswer>('residency.need')
/** Tells the lease holder what was asked for since the last message. */
export const DEMAND = defineChannel<{ counts: DemandCount[] }>('residency.demand')
/** The lease holder tells which adapters a server has now. */
export const ADAPTERS = defineChannel<{ backend: string, model: string, adapter: string, present: boolean }>('residency.adapters')
