/** A model version with its adapters, which are placed together. */
export interface PlanGroup {
  item: string
  partner: string
  /** Memory of one copy in bytes: weights, minimum KV cache and adapters. */
  bytes: number
  /** Demand as a share of one accelerator's throughput. */
  load: number
  minCopies: number
  maxCopies: number
  /** Relative importance of serving this group's demand. */
  weight: number
  /** Multiplies the gain that a move must reach; 1 is neutral. */
  movePenalty: number
  /** Ids of the servers that match the selectors; undefined allows all servers. */
  allowed?: ReadonlySet<string>
  /** Whether the group is no longer wanted, for example because it was deleted or replaced by a newer version. */
  retiring?: boolean
  /** Item that must have a ready copy before this retiring group is unloaded. */
  replacedBy?: string
}

export interface PlanServer {
  id: string
  dataHall: string
  capacity: number
  /** Bytes reserved for copies that are not part of the input, such as copies being unloaded. */
  reserved: number
}

export interface PlanCopy {
  item: string
  server: string
  ready: boolean
}

export interface PlanInput {
  groups: readonly PlanGroup[]
  servers: readonly PlanServer[]
  copies: readonly PlanCopy[]
  /** By partner: the guaranteed share of the pool's memory (0 to 1), and whether the partner may exceed it. */
  quotas: Readonly<Record<string, { share: number, mayBorrow: boolean }>>
  /** Maximum number of loads in the plan. */
  maxLoads: number
  /** Maximum number of moves that only relieve overloaded accelerators; missing copies are not limited by it. */
  maxMoves: number
}

export interface PlanStep {
  action: 'load' | 'unload'
  item: string
  server: string
  /** Explanation for operators. */
  reason: string
}

export interface Plan {
  steps: PlanStep[]
  /** Items without a copy that fit on no accelerator. */
  unplaced: string[]
}
