import type { ObjectStore, StoreChange, StoredObject } from '@pulleystack/backend.interfaces'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { DecisionLog } from '@pulleystack/timeline.decisions'

/** What is known of a listing. */
export interface ListingFacts {
  version: number
  /** The store came back from an older copy: some of what the listing shows, or lacks, may be older than what was known. */
  isRestored: boolean
}

/** What a feed works with, and where it brings what the store says. */
export interface StoreFeedOptions {
  clock: Clock
  random: RandomSource
  store: ObjectStore
  network: PeerNetwork
  log: DecisionLog
  prefix: string
  instance: string
  /** Live instances that could watch, this one among them. */
  listCandidates: () => readonly string[]
  /** All objects, at first, after a gap, when that costs less than the changes, and when the store came back from an older copy. */
  onListing: (objects: readonly StoredObject[], facts: ListingFacts) => void
  /** Changes, in order; of several of one object in one answer only the newest. */
  onChanges: (changes: readonly StoreChange[]) => void
}
