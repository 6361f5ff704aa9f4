import type { StoreChange, StoredObject } from '@pulleystack/backend.interfaces'
import { defineChannel } from '@pulleystack/membership.peers'

/** Which revisions a message is about: after `from`, up to `to`. */
export interface FeedSpan {
  prefix: string
  from: number
  to: number
  /** Time of the sender's monotone clock at which the store surely held nothing that a copy at `to` lacks. */
  knownAt: number
}

/** The newest change of each key in a span; none when nothing changed. */
export interface FeedNews extends FeedSpan {
  changes: StoreChange[]
}

/** That there were changes; who lacks them asks for them, since they are too large to be sent to all. */
export interface FeedNotice extends FeedSpan {
  /** Size of the changes left out. */
  bytes: number
}

/** Everything under a prefix as of one revision. */
export interface FeedSnapshot {
  revision: number
  objects: StoredObject[]
  /** As in FeedSpan. */
  knownAt: number
}

/** Asks for everything under a prefix, if that is newer than a revision. */
export interface SnapshotRequest {
  prefix: string
  after: number
}

/** The store does not answer the sender, who should watch this prefix. */
export interface WatchLost {
  prefix: string
}

export const NEWS = defineChannel<FeedNews>('feed.news')
export const NOTICE = defineChannel<FeedNotice>('feed.notice')
export const WATCH_LOST = defineChannel<WatchLost>('feed.watch-lost')
export const SNAPSHOT = defineChannel<SnapshotRequest, FeedSnapshot | undefined>('feed.snapshot')
