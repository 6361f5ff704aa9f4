import type { StoreChange, StoredObject } from '@pulleystack/backend.interfaces'
import { defineChannel } from '@pulleystack/membership.peers'

/** Range of revisions that a message covers: after `from`, up to `to`. */
export interface RevisionSpan {
  prefix: string
  from: number
  to: number
  /** Time of the sender's monotonic clock, in milliseconds, at which a replica at `to` was known to match the store. */
  knownAt: number
}

/** The newest change of each key in a range of revisions; empty if nothing changed. */
export interface FeedUpdate extends RevisionSpan {
  changes: StoreChange[]
}

/** Announces changes that are too large to send to all instances; the receivers fetch them. */
export interface FeedNotice extends RevisionSpan {
  /** Size of the changes that were not sent. */
  bytes: number
}

/** All objects under a prefix at one revision. */
export interface FeedSnapshot {
  revision: number
  objects: StoredObject[]
  /** As in RevisionSpan. */
  knownAt: number
}

/** Requests all objects under a prefix if the receiver has a revision after `after`. */
export interface SnapshotRequest {
  prefix: string
  after: number
}

/** Announces that the store does not respond to the sender, the watcher of this prefix. */
export interface WatchLost {
  prefix: string
}

export const UPDATE = defineChannel<FeedUpdate>('feed.news')
export const NOTICE = defineChannel<FeedNotice>('feed.notice')
export const WATCH_LOST = defineChannel<WatchLost>('feed.watch-lost')
export const SNAPSHOT = defineChannel<SnapshotRequest, FeedSnapshot | undefined>('feed.snapshot')
