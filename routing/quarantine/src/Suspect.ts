/** Maximum number of crashes recorded per request; the oldest cleared ones are dropped first. */
const MAX_CRASHES = 32

/** A server crash during a request. */
export interface ServerCrash {
  /** Identifies the crashed incarnation of the server. */
  life: string
  /** The owner of the request had confirmed that no other run was in progress. */
  wasOnlyRun: boolean
}

/** What instances announce to each other about one request. */
export interface SuspectUpdate {
  identity: string
  ends: readonly ServerCrash[]
  /** Incarnations whose crashes no longer count, since the request succeeded afterwards. */
  cleared: readonly string[]
}

/** A request during which servers crashed. Updates may be applied repeatedly, late and in any order, since they only add to the sets. */
export class Suspect {
  private readonly crashes = new Map<string, ServerCrash>()
  private readonly cleared = new Set<string>()
  /** Successful runs since the first crash, as far as this instance has a record. */
  successes = 0
  /** Monotonic time at which the last new crash was recorded. */
  lastCrashAt = -Infinity

  constructor (readonly identity: string) {}

  /** Crashes since the last successful run. */
  listUncleared (): ServerCrash[] {
    return [...this.crashes.values()].filter(({ life }) => !this.cleared.has(life))
  }

  get totalCrashes (): number {
    return this.crashes.size
  }

  /** Returns false when the crash was already recorded. */
  addCrash (crash: ServerCrash, now: number): boolean {
    if (this.crashes.has(crash.life)) return false
    this.crashes.set(crash.life, crash)
    this.lastCrashAt = now
    if (this.crashes.size > MAX_CRASHES) this.dropOldest()
    return true
  }

  /** Marks crashes as cleared; returns false when all of them already were. */
  clear (incarnations: readonly string[]): boolean {
    const sizeBefore = this.cleared.size
    for (const incarnation of incarnations) this.cleared.add(incarnation)
    if (this.cleared.size === sizeBefore) return false
    // Crashes are cleared by a successful run.
    this.successes++
    return true
  }

  describe (): SuspectUpdate {
    return { identity: this.identity, ends: [...this.crashes.values()], cleared: [...this.cleared] }
  }

  private dropOldest (): void {
    const oldest = [...this.crashes.keys()].find((incarnation) => this.cleared.has(incarnation)) ?? this.crashes.keys().next().value
    if (oldest === undefined) return
    this.crashes.delete(oldest)
    this.cleared.delete(oldest)
  }
}
