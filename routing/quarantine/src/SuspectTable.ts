import { Suspect, type ServerEnd, type SuspectNews } from './Suspect.js'
import { Verdicts, type SuspectRule, type Verdict } from './SuspectRule.js'

/** Requests that are kept at most: 3 MB with two ends each. A server takes up to 64 requests along, so that 60 ends in a row fit. */
const MAX_SUSPECTS = 4_096

/** The requests under which servers ended, as one instance knows them. When it is full the one goes that was heard of least lately; refused ones stay. */
export class SuspectTable {
  /** Those heard of least lately come first. */
  private readonly suspects = new Map<string, Suspect>()
  private readonly byLife = new Map<string, Set<string>>()

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
    if (!suspect) return Verdicts.FREE
    return this.rule.judge(suspect, { now: this.readTime(), isShared: (end) => this.isShared(identity, end) })
  }

  /** Takes what an instance knows of a request; true when something in it was new. */
  take ({ identity, ends, cleared }: SuspectNews): boolean {
    const suspect = this.ensureLast(identity)
    const added = ends.filter((end) => suspect.addEnd(end, this.readTime()))
    for (const { life } of added) this.noteLife(life, identity)
    const isCleared = suspect.clear(cleared)
    this.dropOldest()
    return added.length > 0 || isCleared
  }

  /** The request ended well; true when ends are cleared by that. */
  noteGoodEnd (identity: string): boolean {
    const suspect = this.suspects.get(identity)
    if (!suspect) return false
    const open = suspect.listOpen()
    if (open.length > 0) return suspect.clear(open.map(({ life }) => life))
    suspect.goodEnds++
    return false
  }

  /** Forgets those that were not heard of for so long, but for refused ones. */
  forgetOlder (ms: number): void {
    const before = this.readTime() - ms
    for (const { identity, endedAt } of this.list()) {
      if (endedAt < before && this.judge(identity) !== Verdicts.REFUSED) this.remove(identity)
    }
  }

  /** Whether another request that was there when a server ended has an end elsewhere too. */
  private isShared (identity: string, { life }: ServerEnd): boolean {
    const others = [...this.byLife.get(life) ?? []].filter((other) => other !== identity)
    return others.some((other) => (this.suspects.get(other)?.listOpen().length ?? 0) > 1)
  }

  private ensureLast (identity: string): Suspect {
    const suspect = this.suspects.get(identity) ?? new Suspect(identity)
    this.suspects.delete(identity)
    this.suspects.set(identity, suspect)
    return suspect
  }

  private noteLife (life: string, identity: string): void {
    const identities = this.byLife.get(life) ?? new Set<string>()
    this.byLife.set(life, identities.add(identity))
  }

  private dropOldest (): void {
    if (this.suspects.size <= MAX_SUSPECTS) return
    const oldest = [...this.suspects.keys()].find((identity) => this.judge(identity) !== Verdicts.REFUSED) ?? this.suspects.keys().next().value
    if (oldest !== undefined) this.remove(oldest)
  }

  private remove (identity: string): void {
    for (const { life } of this.suspects.get(identity)?.describe().ends ?? []) {
      const identities = this.byLife.get(life)
      identities?.delete(identity)
      if (identities?.size === 0) this.byLife.delete(life)
    }
    this.suspects.delete(identity)
  }
}
