import type { ListedInstance } from '@pulleystack/backend.interfaces'
import equal from 'fast-deep-equal'

/** What changed in the platform's list between two readings. */
export interface ListChanges {
  /** Wall time at which the reading that showed it was asked for. */
  asOf: number
  changed: ListedInstance[]
  removed: string[]
}

interface HeldEntry {
  asOf: number
  /** Undefined when it was removed. */
  entry: ListedInstance | undefined
}

// A removal is remembered for so long, so that an older change that comes late doesn't bring the entry back.
const KEEP_REMOVED_MS = 60_000

/** One instance's copy of the platform's list, from its own readings and from what readers tell. */
export class ListCopy {
  private readonly held = new Map<string, HeldEntry>()

  get size (): number {
    return this.held.size
  }

  list (): ListedInstance[] {
    return [...this.held.values()].flatMap((it) => it.entry ?? [])
  }

  /** Takes a whole reading; gives what it changed, if anything. */
  replace (listed: readonly ListedInstance[], asOf: number): ListChanges | undefined {
    const ids = new Set(listed.map((entry) => entry.id))
    const changed = listed.filter((entry) => !equal(this.held.get(entry.id)?.entry, entry))
    const removed = [...this.held].filter(([id, it]) => it.entry !== undefined && !ids.has(id)).map(([id]) => id)
    this.forgetRemoved(asOf)
    if (changed.length === 0 && removed.length === 0) return undefined
    const changes = { asOf, changed: [...changed], removed }
    this.apply(changes)
    return changes
  }

  /** Takes changes; false when all that they say is known or older than what is held. */
  apply (changes: ListChanges): boolean {
    let news = false
    for (const entry of changes.changed) news = this.set(entry.id, entry, changes.asOf) || news
    for (const id of changes.removed) news = this.set(id, undefined, changes.asOf) || news
    return news
  }

  private set (id: string, entry: ListedInstance | undefined, asOf: number): boolean {
    const held = this.held.get(id)
    if (held && (held.asOf > asOf || equal(held.entry, entry))) return false
    if (!held && entry === undefined) return false
    this.held.set(id, { asOf, entry })
    return true
  }

  private forgetRemoved (now: number): void {
    for (const [id, it] of this.held) {
      if (it.entry === undefined && now - it.asOf > KEEP_REMOVED_MS) this.held.delete(id)
    }
  }
}
