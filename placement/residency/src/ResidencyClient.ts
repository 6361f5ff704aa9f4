/** Asks for weights that no usable server holds, or for more copies of them. */
export interface WeightsRequest {
  service: string
  model: string
  adapter: string | undefined
  /** The servers that hold the weights are full, and another copy is needed. */
  isMore: boolean
  /** Milliseconds for which the request can wait. */
  waitMs: number
  /** Identifies the waiting request. Instances of an older version send neither this nor the following. */
  requestId?: string
  /** Milliseconds within which a send still meets the latency target; 0 or less when overdue. */
  dueMs?: number
  /** 0 is the most urgent. */
  priority?: number
  /** Only weights on servers of this software version help; undefined if any do. */
  softwareVersion?: string
}

/** The weights that a request uses. */
export type RequestedWeights = Pick<WeightsRequest, 'service' | 'model' | 'adapter'>

/** The lease holder's answer to a `WeightsRequest`. */
export type WeightsAnswer =
  | { coming: true, /** Estimated milliseconds until a server holds the weights. */ expectedMs: number }
  | {
    coming: false
    reason: string
    /** Estimated milliseconds if some server loaded the weights next; undefined when not known. */
    earliestMs?: number
    /** The answer does not come from a lease holder, so that a load may be planned nevertheless. */
    isUndecided?: boolean
  }

/** The request path's access to model placement. */
export abstract class ResidencyClient {
  /** Requests weights. Resolves with `coming: false` when no live lease holder is known or it doesn't answer in time. */
  abstract requestWeights (request: WeightsRequest): Promise<WeightsAnswer>
  /** Counts a new request. */
  abstract recordRequest (weights: RequestedWeights): void
  /** Counts a request that occupies a slot or waits for one, until the returned function is called. */
  abstract recordInFlight (weights: RequestedWeights): () => void
  /** Counts a request that released its slot, with the milliseconds for which it occupied it and the prompt tokens that the server prefilled. */
  abstract recordEnded (weights: RequestedWeights, usage: { heldMs: number, readTokens: number }): void
}
