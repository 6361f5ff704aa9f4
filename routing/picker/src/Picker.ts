/** The view of a backend server that a picker decides on. */
export interface Pickable {
  readonly id: string
  readonly slots: number
  readonly serviceMs: number
  readonly prefillMsPerBlock: number
  estimateLoad (): number
  /** Network latency to the server in milliseconds. */
  readonly networkMs: number
  countMatching (blocks: readonly number[]): number
}

export interface PickRequest {
  /** Hashes of the prompt's leading blocks; empty for services without prompts. */
  blocks: readonly number[]
}

/** Chooses one of several servers, all of them eligible for the request. */
export abstract class Picker {
  /** `candidates` must not be empty. */
  abstract pick<T extends Pickable> (candidates: readonly T[], request: PickRequest): T
}
