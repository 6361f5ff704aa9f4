import { Suspect, type ServerCrash, type SuspectUpdate } from './Suspect.js'
import { Verdicts, type SuspectRule, type Verdict } from './SuspectRule.js'

/** Bounds the memory used; leaves room for dozens of crashes with a full set of requests each. */
const MAX_SUSPECTS = 4_096

/** One instance's record of requests during which servers crashed. When full, it drops the least recently updated one that isn't rejected. */
export class SuspectTable {
  /** Least recently updated first. */
  private readonly suspects = new Map<string, Suspect>()
  private readonly byIncarnation = new Map<string, Set<string>>()

  constructor (private readonly rule: SuspectRule, private readonly readTime: () => number) {}

  get size (): number {
    return this.suspects.size
  }

  find (identity: string): Suspect | undefined {
    return this.suspects.get(identity)
  }

  list (): Suspect[] {
    return [...this.suspects.values()]
  }

  judge (identity: string): Verdict {
    const suspect = this.suspects.get(identity)
    if (!suspect) return Verdicts.ALLOWED
    return this.rule.judge(suspect, { now: this.readTime(), isShared: (crash) => this.isShared(identity, crash) })
  }

  /** Merges an update; returns true when something in it was new. */
  apply ({ identity, ends, cleared }: SuspectUpdate): boolean {
    const suspect = this.ensureNewest(identity)
    const added = ends.filter((crash) => suspect.addCrash(crash, this.readTime()))
    for (const { life } of added) this.recordIncarnation(life, identity)
    const isCleared = suspect.clear(cleared)
    this.dropOldest()
    return added.length > 0 || isCleared
  }

  /** Records a successful run; returns true when that cleared crashes. */
  recordSuccess (identity: string): boolean {
    const suspect = this.suspects.get(identity)
    if (!suspect) return false
    const uncleared = suspect.listUncleared()
    if (uncleared.length > 0) return suspect.clear(uncleared.map(({ life }) => life))
    suspect.successes++
    return false
  }

  /** Removes suspects whose last crash is older than `maxAgeMs`, except rejected ones. */
  removeOlder (maxAgeMs: number): void {
    const oldestAllowed = this.readTime() - maxAgeMs
    for (const { identity, lastCrashAt } of this.list()) {
      if (lastCrashAt < oldestAllowed && this.judge(identity) !== Verdicts.REJECTED) this.remove(identity)
    }
  }

  /** Whether another request that was running when a server crashed has more than one uncleared crash. */
  private isShared (identity: string, { life }: ServerCrash): boolean {
    const others = [...this.byIncarnation.get(life) ?? []].filter((other) => other !== identity)
    return others.some((other) => (this.suspects.get(other)?.listUncleared().length ?? 0) > 1)
  }

  private ensureNewest (identity: string): Suspect {
    const suspect = this.suspects.get(identity) ?? new Suspect(identity)
    this.suspects.delete(identity)
    this.suspects.set(identity, suspect)
    return suspect
  }

  private recordIncarnation (incarnation: string, identity: string): void {
    const identities = this.byIncarnation.get(incarnation) ?? new Set<string>()
    this.byIncarnation.set(incarnation, identities.add(identity))
  }

  private dropOldest (): void {
    if (this.suspects.size <= MAX_SUSPECTS) return
    const oldest = [...this.suspects.keys()].find((identity) => this.judge(identity) !== Verdicts.REJECTED) ?? this.suspects.keys().next().value
    if (oldest !== undefined) this.remove(oldest)
  }

  private remove (identity: string): void {
    for (const { life } of this.suspects.get(identity)?.describe().ends ?? []) {
      const identities = this.byIncarnation.get(life)
      identities?.delete(identity)
      if (identities?.size === 0) this.byIncarnation.delete(life)
    }
    this.suspects.delete(identity)
  }
}
