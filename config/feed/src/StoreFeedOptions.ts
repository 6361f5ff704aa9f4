import type { ObjectStore, StoreChange, StoredObject } from '@pulleystack/backend.interfaces'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { DecisionLog } from '@pulleystack/timeline.decisions'

/** Properties of a listing. */
export interface ListingInfo {
  version: number
  /** The store was restored from an older snapshot: the listing may be older than earlier listings and changes. */
  isRestored: boolean
}

export interface StoreFeedOptions {
  clock: Clock
  random: RandomSource
  store: ObjectStore
  network: PeerNetwork
  log: DecisionLog
  prefix: string
  instance: string
  /** Milliseconds for which the store must be lost before objects can have expired because their owners couldn't reach it. */
  minExpiryMs: number
  /** Live instances that may watch, including this one. */
  listCandidates: () => readonly string[]
  /** Called with all objects: initially, after a gap, if a listing is smaller than the changes, and after the store was restored. */
  onListing: (objects: readonly StoredObject[], info: ListingInfo) => void
  /** Called with changes in ascending order of version; of several changes of one object in a response, only the newest is included. */
  onChanges: (changes: readonly StoreChange[]) => void
}
