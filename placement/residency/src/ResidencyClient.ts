/** Weights that a request needs and no usable server holds. */
export interface WeightsNeed {
  service: string
  model: string
  adapter: string | undefined
  /** Servers that hold them are full; another one is wanted. */
  isMore: boolean
  /** Milliseconds that the asker would wait. */
  waitMs: number
}

/** Weights that a request asks for. */
export type AskedWeights = Pick<WeightsNeed, 'service' | 'model' | 'adapter'>

/** What the one that places models says to a need. */
export type NeedAnswer =
  | { coming: true, /** Milliseconds until a server will likely hold it. */ expectedMs: number }
  | {
    coming: false
    reason: string
    /** Milliseconds until it could be there if its load were the next order of some server; undefined when that is not known. */
    earliestMs?: number
  }

/** How the request path reaches the one that places models. */
export abstract class ResidencyClient {
  /** Asks for weights; answers at once or soon that they won't come when nobody who could load them is known to be well. */
  abstract requestWeights (need: WeightsNeed): Promise<NeedAnswer>
  /** Counts one new request. */
  abstract noteDemand (asked: AskedWeights): void
  /** Counts a request that has a place at a server or waits for one, until the function that it gives is called. */
  abstract noteInHand (asked: AskedWeights): () => void
  /** Counts a request that left its place at a server, which it held for so many milliseconds and which read so many tokens of its prompt. */
  abstract noteEnded (asked: AskedWeights, took: { heldMs: number, readTokens: number }): void
}
