/** A model's version with its adapters: what is placed together. */
export interface PlanGroup {
  item: string
  partner: string
  /** Bytes of one copy: weights, KV floor and adapters. */
  bytes: number
  /** Demand as a share of one accelerator's throughput. */
  load: number
  minCopies: number
  maxCopies: number
  /** Weight of attainment, from the partner's declared intent. */
  weight: number
  /** Cost of a move as a share of an accelerator's throughput that it must win back. */
  movePenalty: number
  /** Servers that the selectors allow; undefined: all. */
  allowed?: ReadonlySet<string>
  /** Not wanted any more: deleted, or an older version; kept until nothing depends on it. */
  retiring?: boolean
  /** For a retiring version: the item that must be ready first. */
  replacedBy?: string
}

export interface PlanServer {
  id: string
  dataHall: string
  capacity: number
  /** Bytes that are reserved for copies not listed here, as ones being unloaded. */
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
  /** Guaranteed share of the pool's bytes by partner, and whether idle bytes may be borrowed. */
  quotas: Readonly<Record<string, { share: number, mayBorrow: boolean }>>
  /** Loads that may be started now. */
  maxLoads: number
  /** Moves for attainment alone that may be started now; reachability is not bound by it. */
  maxMoves: number
}

export interface PlanStep {
  action: 'load' | 'unload'
  item: string
  server: string
  /** For people: why. */
  reason: string
}

export interface Plan {
  steps: PlanStep[]
  /** Items that have no copy and for which no room could be found. */
  unplaced: string[]
}
