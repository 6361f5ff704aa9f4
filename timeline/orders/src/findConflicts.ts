import { mayArriveLate, mayHaveArrived, type OrderCopy } from './OrderHistory.js'

export const ConflictKinds = {
  /** Orders of two holders, closer than the bound. */
  TOO_CLOSE: 'too close',
  /** A lower fence after a higher one. */
  LOWER_FENCE: 'lower fence',
  /** One fence of two holders. */
  SHARED_FENCE: 'shared fence',
  /** Earlier orders without an answer may still arrive, beside or after this one. */
  LATE_ARRIVAL: 'late arrival',
} as const
export type ConflictKind = typeof ConflictKinds[keyof typeof ConflictKinds]

/** An order that conflicts with earlier ones of another holder at the same server. */
export interface OrderConflict {
  kind: ConflictKind
  copy: OrderCopy
  /** The earlier orders, the latest one last. */
  earlier: readonly OrderCopy[]
}

export interface ConflictBounds {
  /** Minimum milliseconds between the orders of two holders. */
  gapMs: number
  /** Longest time from when an order is sent until it arrives, in milliseconds. */
  travelMs: number
}

/** Finds conflicts among the copies that one server got, which are in the order of time. Copies that never arrive are left out. */
export function findConflicts (copies: readonly OrderCopy[], bounds: ConflictBounds): OrderConflict[] {
  const finder = new ConflictFinder(bounds)
  return copies.filter(mayHaveArrived).flatMap((copy) => finder.add(copy))
}

class ConflictFinder {
  private previous: OrderCopy | undefined
  private highest: OrderCopy | undefined
  /** Copies that may still arrive. */
  private open: OrderCopy[] = []
  private readonly firstByFence = new Map<number, OrderCopy>()

  constructor (private readonly bounds: ConflictBounds) {}

  /** Returns the conflicts of a copy with those before it. */
  add (copy: OrderCopy): OrderConflict[] {
    this.open = this.open.filter(({ sentAt }) => copy.sentAt - sentAt < this.bounds.travelMs)
    const conflicts = [
      build(ConflictKinds.TOO_CLOSE, copy, this.listTooClose(copy)),
      build(ConflictKinds.LOWER_FENCE, copy, this.listHigher(copy)),
      build(ConflictKinds.SHARED_FENCE, copy, this.listSharing(copy)),
      build(ConflictKinds.LATE_ARRIVAL, copy, this.listLate(copy)),
    ]
    this.record(copy)
    return conflicts.filter(({ earlier }) => earlier.length > 0)
  }

  private record (copy: OrderCopy): void {
    this.previous = copy
    if (!this.highest || copy.fence >= this.highest.fence) this.highest = copy
    if (!this.firstByFence.has(copy.fence)) this.firstByFence.set(copy.fence, copy)
    if (mayArriveLate(copy)) this.open.push(copy)
  }

  private listTooClose (copy: OrderCopy): OrderCopy[] {
    const { previous } = this
    return previous && previous.holder !== copy.holder && copy.sentAt - previous.sentAt < this.bounds.gapMs ? [previous] : []
  }

  private listHigher (copy: OrderCopy): OrderCopy[] {
    return this.highest && this.highest.fence > copy.fence ? [this.highest] : []
  }

  private listSharing (copy: OrderCopy): OrderCopy[] {
    const first = this.firstByFence.get(copy.fence)
    return first && first.holder !== copy.holder ? [first] : []
  }

  /** Only the first order of a turn is a conflict, so that each turn is listed once. */
  private listLate (copy: OrderCopy): OrderCopy[] {
    if (!this.previous || isOfSameTerm(copy, this.previous)) return []
    return this.open.filter((earlier) => !isOfSameTerm(copy, earlier))
  }
}

/** A holder that lost the lease and took it again has a higher fence, and its earlier orders are those of another. */
function isOfSameTerm (one: OrderCopy, other: OrderCopy): boolean {
  return one.holder === other.holder && one.fence === other.fence
}

function build (kind: ConflictKind, copy: OrderCopy, earlier: readonly OrderCopy[]): OrderConflict {
  return { kind, copy, earlier }
}
