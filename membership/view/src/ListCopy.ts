import type { ListedInstance } from '@pulleystack/backend.interfaces'
import equal from 'fast-deep-equal'

/** Changes of the platform's list between two reads. */
export interface ListChanges {
  /** Wall-clock time in ms at which the read was requested. */
  asOf: number
  changed: ListedInstance[]
  removed: string[]
}

interface VersionedEntry {
  asOf: number
  /** Undefined for a tombstone. */
  entry: ListedInstance | undefined
}

// Tombstones are kept so that older changes arriving late don't restore a removed entry.
const TOMBSTONE_RETENTION_MS = 60_000

/** An instance's copy of the platform's list, from its own reads and from changes sent by other readers. */
export class ListCopy {
  private readonly entries = new Map<string, VersionedEntry>()

  get size (): number {
    return this.entries.size
  }

  list (): ListedInstance[] {
    return [...this.entries.values()].flatMap((it) => it.entry ?? [])
  }

  /** Applies a complete read; returns the changes, or undefined without any. */
  replace (listed: readonly ListedInstance[], asOf: number): ListChanges | undefined {
    const ids = new Set(listed.map((entry) => entry.id))
    const changed = listed.filter((entry) => !equal(this.entries.get(entry.id)?.entry, entry))
    const removed = [...this.entries].filter(([id, it]) => it.entry !== undefined && !ids.has(id)).map(([id]) => id)
    this.removeExpiredTombstones(asOf)
    if (changed.length === 0 && removed.length === 0) return undefined
    const changes = { asOf, changed: [...changed], removed }
    this.apply(changes)
    return changes
  }

  /** Applies changes; returns false when all of them are known or outdated. */
  apply (changes: ListChanges): boolean {
    let isChanged = false
    for (const entry of changes.changed) isChanged = this.set(entry.id, entry, changes.asOf) || isChanged
    for (const id of changes.removed) isChanged = this.set(id, undefined, changes.asOf) || isChanged
    return isChanged
  }

  private set (id: string, entry: ListedInstance | undefined, asOf: number): boolean {
    const existing = this.entries.get(id)
    if (existing && (existing.asOf > asOf || equal(existing.entry, entry))) return false
    if (!existing && entry === undefined) return false
    this.entries.set(id, { asOf, entry })
    return true
  }

  private removeExpiredTombstones (now: number): void {
    for (const [id, it] of this.entries) {
      if (it.entry === undefined && now - it.asOf > TOMBSTONE_RETENTION_MS) this.entries.delete(id)
    }
  }
}
