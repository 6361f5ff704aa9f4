import type { StoreChange, StoredObject } from '@pulleystack/backend.interfaces'
import equal from 'fast-deep-equal'

interface HeldObject {
  object: StoredObject
  bytes: number
}

/** What is held of everything under one prefix. Neither its revision nor an object's version goes back, unless it is reset. */
export class FeedCopy {
  /** Undefined before the first listing. */
  revision: number | undefined
  /** Size of all objects. */
  bytes = 0
  private readonly held = new Map<string, HeldObject>()
  /** Newest revision ever had; 0 before the first listing. */
  newest = 0

  list (): StoredObject[] {
    return [...this.held.values()].map(({ object }) => object)
  }

  /** What turns this copy into another state, whatever revisions its objects have. */
  listDifferences (revision: number, objects: readonly StoredObject[]): StoreChange[] {
    const names = new Set(objects.map((object) => object.key))
    const changed = objects.filter((object) => !equal(this.held.get(object.key)?.object.value, object.value))
    const gone = [...this.held.keys()].filter((key) => !names.has(key))
    return [...changed, ...gone.map((key) => ({ key, version: revision, value: undefined }))]
  }

  /** Takes the changes up to a revision; gives those that were not known. */
  apply (changes: readonly StoreChange[], to: number): StoreChange[] {
    const known = this.revision ?? 0
    const applied = changes.filter((change) => change.version > known && change.version > (this.held.get(change.key)?.object.version ?? 0))
    for (const change of applied) {
      this.remove(change.key)
      if (change.value !== undefined) this.put(change)
    }
    this.advance(Math.max(known, to))
    return applied
  }

  /** Takes everything as of a revision; false when what is held is newer. */
  replace (revision: number, objects: readonly StoredObject[]): boolean {
    if (revision < this.newest) return false
    this.reset(revision, objects)
    return true
  }

  /** Takes everything as of a revision, also of one that is older than what is held. */
  reset (revision: number, objects: readonly StoredObject[]): void {
    this.held.clear()
    this.bytes = 0
    for (const object of objects) this.put(object)
    this.advance(revision)
  }

  private advance (revision: number): void {
    this.revision = revision
    this.newest = revision
  }

  private put (object: StoredObject): void {
    const bytes = measureValue(object.value)
    this.held.set(object.key, { object, bytes })
    this.bytes += bytes
  }

  private remove (key: string): void {
    this.bytes -= this.held.get(key)?.bytes ?? 0
    this.held.delete(key)
  }
}

/** Bytes of a value as the store sends it, but for characters that take several. */
export function measureValue (value: unknown): number {
  return value === undefined ? 0 : JSON.stringify(value).length
}

/** The newest change of each key, in the order of their versions. */
export function keepNewest (changes: readonly StoreChange[]): StoreChange[] {
  const newest = new Map<string, StoreChange>()
  for (const change of changes) {
    const present = newest.get(change.key)
    if (!present || present.version < change.version) newest.set(change.key, change)
  }
  return [...newest.values()].sort((a, b) => a.version - b.version)
}
