import type { ObjectStore, StoredObject } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import { keepRunning } from '@pulleystack/core.tasks'
import { ORIGINS_PREFIX } from './OriginArchive.js'
import { RETENTION_MS } from './retention.js'

const INTERVAL_MS = 60_000
/** Objects that are followed, and removed at once, at most. */
const MAX_FOLLOWED = 1_024
const MAX_REMOVED = 20

export interface ArchiveRemovalOptions {
  clock: Clock
  store: ObjectStore
  instance: string
  listServing: () => readonly string[]
  /** Whether an instance may have written an object since the start of this one. */
  mayHaveObjects: () => boolean
}

/** An object of an instance that does not serve. */
interface FollowedObject {
  version: number
  /** Monotonic time in milliseconds at which this version was first seen. */
  seenAt: number
}

/** Removes the archived streams of instances that have not served, or written, for the retention time. One instance does so for all. */
export class ArchiveRemoval {
  private followed: ReadonlyMap<string, FollowedObject> = new Map()
  private mayHaveObjects = false

  constructor (private readonly opts: ArchiveRemovalOptions) {}

  start (signal: AbortSignal): void {
    keepRunning({ task: 'removal of archived streams', clock: this.opts.clock, signal, run: () => this.keepRemoving(signal) })
  }

  private async keepRemoving (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.opts.clock.wait(INTERVAL_MS, signal)
      this.mayHaveObjects ||= this.opts.mayHaveObjects()
      if (!signal.aborted && this.mayHaveObjects && this.isOwner()) await this.removeGone(signal)
    }
  }

  private isOwner (): boolean {
    const { instance, listServing } = this.opts
    return findOwner(ORIGINS_PREFIX, [instance, ...listServing()]) === instance
  }

  private async removeGone (signal: AbortSignal): Promise<void> {
    const { clock, store } = this.opts
    const listing = await store.listObjects(ORIGINS_PREFIX)
    if (listing.isErr()) return
    const { objects } = listing.value
    this.mayHaveObjects = objects.length > 0
    this.followed = this.followGone(objects)
    const lastSeenAt = clock.readTime() - RETENTION_MS
    const due = [...this.followed].filter(([, { seenAt }]) => seenAt <= lastSeenAt).slice(0, MAX_REMOVED)
    for (const [key, { version }] of due) {
      // An instance that is back may have written it again, which is a conflict.
      if (!signal.aborted) await store.deleteObject(key, version)
    }
  }

  /** Returns the objects of instances that don't serve, with the time since when they are unchanged. */
  private followGone (objects: readonly StoredObject[]): Map<string, FollowedObject> {
    const { clock, instance, listServing } = this.opts
    const serving = new Set([instance, ...listServing()].map((name) => ORIGINS_PREFIX + name))
    const gone = objects.filter(({ key }) => !serving.has(key)).slice(0, MAX_FOLLOWED)
    return new Map(gone.map(({ key, version }) => {
      const known = this.followed.get(key)
      return [key, known?.version === version ? known : { version, seenAt: clock.readTime() }]
    }))
  }
}
