/** State of the queue for one kind of slot. */
export interface QueueState {
  /** Milliseconds for which a request occupies a slot. */
  heldMs: number
  /** Running requests of all instances at the servers concerned. */
  running: number
  /** Expected milliseconds until each running request of this instance ends, in ascending order; a sample of all instances. */
  ownRemainingMs: readonly number[]
  /** Whether slots become free at a steady rate rather than at random. */
  hasSteadyRate?: boolean
  /** Requests per second that arrive for these slots at this instance. */
  arrivalsPerSecond: number
  /** Requests waiting at this instance: those ahead of this request, and all that may meet their latency target. */
  ahead: number
  waiting: number
  /** Requests waiting for the same slots at other instances that may meet their latency target. */
  waitingAtPeers: number
}

/** Expected milliseconds until a slot is available. */
export interface WaitEstimate {
  /** For a request that can meet its latency target. */
  withinTargetMs: number
  /** For an overdue request, which gets slots that the others leave unused; infinite if there are none. */
  overdueMs: number
}

/**
 * Slots become free as running requests end, at the times that this instance's own requests show, and after that by Little's law. This instance gets
 * slots in proportion to its waiting requests. An overdue request is overtaken by every later arrival.
 */
export function estimateWaits (facts: QueueState): WaitEstimate {
  const { heldMs, running, arrivalsPerSecond, ahead, waiting, waitingAtPeers } = facts
  const ownWaiting = Math.max(1, waiting)
  const share = ownWaiting / (ownWaiting + waitingAtPeers)
  const neededSlots = (ahead + 1) / share
  const endsPerSecond = running * 1_000 / heldMs
  const sparePerSecond = endsPerSecond - arrivalsPerSecond / share
  return {
    // Slots that become free at random vary in number by its square root, so one standard deviation more is needed.
    withinTargetMs: estimateSlotsFreeMs(facts, neededSlots + (facts.hasSteadyRate ? 0 : Math.sqrt(neededSlots))),
    overdueMs: sparePerSecond > 0 ? estimateSlotsFreeMs(facts, neededSlots) * endsPerSecond / sparePerSecond : Infinity,
  }
}

/** Expected milliseconds until this many slots of all instances have become free. */
function estimateSlotsFreeMs ({ heldMs, running, ownRemainingMs }: QueueState, neededSlots: number): number {
  if (running === 0) return Infinity
  const rounds = neededSlots / running
  if (ownRemainingMs.length === 0) return rounds * heldMs
  const wholeRounds = Math.floor(rounds)
  const index = Math.floor((rounds - wholeRounds) * ownRemainingMs.length)
  return wholeRounds * heldMs + (ownRemainingMs[index] as number)
}
