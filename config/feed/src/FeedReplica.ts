import type { StoreChange, StoredObject } from '@pulleystack/backend.interfaces'
import equal from 'fast-deep-equal'

interface SizedObject {
  object: StoredObject
  bytes: number
}

/** The objects under one prefix. Neither its revision nor an object's version decreases unless it is reset. */
export class FeedReplica {
  /** Undefined before the first listing. */
  revision: number | undefined
  /** Total size of all values. */
  bytes = 0
  private readonly entries = new Map<string, SizedObject>()
  /** Highest version reached, of epoch and revision; 0 before the first listing. */
  newestVersion = 0

  list (): StoredObject[] {
    return [...this.entries.values()].map(({ object }) => object)
  }

  /** Lists the changes that lead to the given state, comparing values and not versions. */
  listDifferences (revision: number, objects: readonly StoredObject[]): StoreChange[] {
    const keys = new Set(objects.map((object) => object.key))
    const changed = objects.filter((object) => !equal(this.entries.get(object.key)?.object.value, object.value))
    const deleted = [...this.entries.keys()].filter((key) => !keys.has(key))
    return [...changed, ...deleted.map((key) => ({ key, version: revision, value: undefined }))]
  }

  /** Applies the changes up to a revision and returns those that were new. */
  apply (changes: readonly StoreChange[], upTo: number): StoreChange[] {
    const knownRevision = this.revision ?? 0
    const applied = changes.filter((change) => change.version > knownRevision && change.version > (this.entries.get(change.key)?.object.version ?? 0))
    for (const change of applied) {
      this.remove(change.key)
      if (change.value !== undefined) this.put(change)
    }
    this.advance(Math.max(knownRevision, upTo))
    return applied
  }

  /** Replaces all objects with the state at a revision; returns false if the replica is newer. */
  replace (revision: number, objects: readonly StoredObject[]): boolean {
    if (revision < this.newestVersion) return false
    this.reset(revision, objects)
    return true
  }

  /** Replaces all objects with the state at a revision, even an older one. */
  reset (revision: number, objects: readonly StoredObject[]): void {
    this.entries.clear()
    this.bytes = 0
    for (const object of objects) this.put(object)
    this.advance(revision)
  }

  private advance (revision: number): void {
    this.revision = revision
    this.newestVersion = revision
  }

  private put (object: StoredObject): void {
    const bytes = measureValue(object.value)
    this.entries.set(object.key, { object, bytes })
    this.bytes += bytes
  }

  private remove (key: string): void {
    this.bytes -= this.entries.get(key)?.bytes ?? 0
    this.entries.delete(key)
  }
}

/** Approximate size of a value in bytes: the length of its JSON, not counting multi-byte characters. */
export function measureValue (value: unknown): number {
  return value === undefined ? 0 : JSON.stringify(value).length
}

/** Keeps the newest change of each key, in ascending order of version. */
export function keepNewest (changes: readonly StoreChange[]): StoreChange[] {
  const newest = new Map<string, StoreChange>()
  for (const change of changes) {
    const existing = newest.get(change.key)
    if (!existing || existing.version < change.version) newest.set(change.key, change)
  }
  return [...newest.values()].sort((a, b) => a.version - b.version)
}
