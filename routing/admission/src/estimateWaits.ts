/** What is known of the queue for one kind of place. */
export interface QueueFacts {
  /** Milliseconds for which a place is held. */
  heldMs: number
  /** Requests that run at the servers in question, of all instances. */
  running: number
  /** Milliseconds until each of those that this instance runs will likely end, the soonest first; a sample of all. */
  ownLeftMs: readonly number[]
  /** Places come at a steady rate, and not by chance. */
  isSteady?: boolean
  /** Requests that arrive for these places in a second at this instance. */
  arrivalsPerSecond: number
  /** Requests that wait here before the one asked about, and all that wait here and can be in time. */
  ahead: number
  waiting: number
  /** Requests that wait for the same places at other instances and can be in time. */
  waitingElsewhere: number
}

/** When a place will likely come, in milliseconds from now. */
export interface WaitEstimate {
  /** For one that can be in time. */
  inTimeMs: number
  /** For one that takes what those in time leave over; infinite while they leave nothing. */
  lateMs: number
}

/**
 * Places come free as the requests that have them end, which those of this instance show for all; after them by Little's law. This instance gets the share
 * for which it waits. One that is late in any case is overtaken by all that arrive meanwhile.
 */
export function estimateWaits (facts: QueueFacts): WaitEstimate {
  const { heldMs, running, arrivalsPerSecond, ahead, waiting, waitingElsewhere } = facts
  const own = Math.max(1, waiting)
  const share = own / (own + waitingElsewhere)
  const needed = (ahead + 1) / share
  const endsPerSecond = running * 1_000 / heldMs
  const leftOver = endsPerSecond - arrivalsPerSecond / share
  return {
    // Of places that come free by chance, so many are free later than the mean by a standard deviation, which is the root of their number.
    inTimeMs: estimateFreeMs(facts, needed + (facts.isSteady ? 0 : Math.sqrt(needed))),
    lateMs: leftOver > 0 ? estimateFreeMs(facts, needed) * endsPerSecond / leftOver : Infinity,
  }
}

/** Milliseconds until so many places, over all instances, have come free. */
function estimateFreeMs ({ heldMs, running, ownLeftMs }: QueueFacts, needed: number): number {
  if (running === 0) return Infinity
  const rounds = needed / running
  if (ownLeftMs.length === 0) return rounds * heldMs
  const whole = Math.floor(rounds)
  const at = Math.floor((rounds - whole) * ownLeftMs.length)
  return whole * heldMs + (ownLeftMs[at] as number)
}
