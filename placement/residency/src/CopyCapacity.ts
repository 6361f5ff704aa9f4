import type { ModelDemand } from './DemandTracker.js'
import type { ServerPaces } from './ServerPaces.js'

/** Share of a server's time that may be spent on prefill; beyond it, queued prompts delay the events of running streams. */
const PREFILL_SHARE = 0.4
/** Share of a batch that can be planned for; beyond it, bursts find no free slot. */
const USABLE_BATCH_SHARE = 0.6
/** Prompt tokens assumed until the first request for any model has ended. */
const DEFAULT_PROMPT_TOKENS = 1_000
/** Bounds the effect of a server's pace on the holding time, only part of which is spent on prefill. */
const MAX_HELD_RATIO = 2
/** Keeps the capacity of a server with a limit of zero positive, so that utilizations are finite. */
const MIN_CAPACITY = 1e-6

/** Requests per second that a copy of a model serves in time on a server that holds no other model in use. */
export class CopyCapacity {
  constructor (private readonly batchSlots: number, private readonly paces: ServerPaces) {}

  /** The lower of the limits by prefill time, by batch and, if any, the limit that the server advertises. */
  compute (demand: Pick<ModelDemand, 'promptTokens' | 'uncongestedHeldMs'>, server: { id: string, limitPerSecond?: number | undefined }): number {
    const pace = this.paces.read(server.id)
    const promptTokens = demand.promptTokens > 0 ? demand.promptTokens : DEFAULT_PROMPT_TOKENS
    const byPrefill = PREFILL_SHARE * pace * 1000 / promptTokens
    const byBatch = USABLE_BATCH_SHARE * this.batchSlots / this.estimateHeldMs(demand, server.id) * 1000
    return Math.max(MIN_CAPACITY, Math.min(byPrefill, byBatch, server.limitPerSecond ?? Infinity))
  }

  /** Milliseconds for which a request occupies its slot on an uncongested server of this pace. */
  estimateHeldMs ({ uncongestedHeldMs }: Pick<ModelDemand, 'uncongestedHeldMs'>, server: string): number {
    const ratio = this.paces.median / this.paces.read(server)
    return uncongestedHeldMs * Math.min(MAX_HELD_RATIO, Math.max(1 / MAX_HELD_RATIO, ratio))
  }
}
