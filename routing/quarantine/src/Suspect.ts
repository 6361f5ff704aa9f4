/** Ends that are kept of one request; older good ones go first. */
const MAX_ENDS = 32

/** A server that ended while it ran a request. */
export interface ServerEnd {
  /** One start of one server. */
  life: string
  /** The instances had agreed that this was the only run of the request. */
  wasOnlyRun: boolean
}

/** What instances tell each other of one request. */
export interface SuspectNews {
  identity: string
  ends: readonly ServerEnd[]
  /** Lives whose ends say nothing any more, since the request ended well afterwards. */
  cleared: readonly string[]
}

/** A request under which servers ended. Sets only grow, so that news may come twice, late and in any order. */
export class Suspect {
  private readonly ends = new Map<string, ServerEnd>()
  private readonly cleared = new Set<string>()
  /** Runs that ended well since the first end, as far as this instance knows. */
  goodEnds = 0
  /** Monotone time at which an end was last heard of. */
  endedAt = -Infinity

  constructor (readonly identity: string) {}

  /** Ends since the request last ended well. */
  listOpen (): ServerEnd[] {
    return [...this.ends.values()].filter(({ life }) => !this.cleared.has(life))
  }

  get totalEnds (): number {
    return this.ends.size
  }

  /** Adds an end; false when it is known. */
  addEnd (end: ServerEnd, now: number): boolean {
    if (this.ends.has(end.life)) return false
    this.ends.set(end.life, end)
    this.endedAt = now
    if (this.ends.size > MAX_ENDS) this.forgetOldest()
    return true
  }

  /** Notes that ends say nothing any more; false when that is known. */
  clear (lives: readonly string[]): boolean {
    const before = this.cleared.size
    for (const life of lives) this.cleared.add(life)
    if (this.cleared.size === before) return false
    // Whoever cleared them has seen the request end well.
    this.goodEnds++
    return true
  }

  describe (): SuspectNews {
    return { identity: this.identity, ends: [...this.ends.values()], cleared: [...this.cleared] }
  }

  private forgetOldest (): void {
    const oldest = [...this.ends.keys()].find((life) => this.cleared.has(life)) ?? this.ends.keys().next().value
    if (oldest === undefined) return
    this.ends.delete(oldest)
    this.cleared.delete(oldest)
  }
}
