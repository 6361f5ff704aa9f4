/** What a picker sees of a backend server. */
export interface Pickable {
  readonly id: string
  readonly slots: number
  readonly serviceMs: number
  readonly prefillMsPerBlock: number
  estimateLoad (): number
  /** Milliseconds that the way there adds. */
  readonly hopMs: number
  countMatching (blocks: readonly number[]): number
}

export interface PickRequest {
  /** Hashes of the prompt's leading blocks; empty for plain services. */
  blocks: readonly number[]
}

/** A way to choose one of several servers, all of which may take the request. */
export abstract class Picker {
  /** Picks from a list that is not empty. */
  abstract pick<T extends Pickable> (candidates: readonly T[], request: PickRequest): T
}
