import { readEpoch, readRevision, type StoreListing } from '@pulleystack/backend.interfaces'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { FeedUpdate } from './channels.js'
import type { FeedReplica } from './FeedReplica.js'

/** The decision log and the prefix to which a replica's records belong. */
export interface ReplicaLog {
  log: DecisionLog
  prefix: string
}

/** Versions of a listing and of the replica that it is compared with. */
export interface ComparedListing {
  version: number
  replicaVersion: number
}

/** Whether the store was restored from an older snapshot between two versions. */
export function isOfLaterEpoch (version: number, than: number): boolean {
  return readEpoch(version) > readEpoch(than)
}

/** Builds the update with which peers at the replica's revision follow a listing of a later epoch; undefined if the epoch is the same. */
export function buildRestoreUpdate (prefix: string, replica: FeedReplica, listing: StoreListing, knownAt: number): FeedUpdate | undefined {
  const from = replica.revision
  if (from === undefined || !isOfLaterEpoch(listing.version, from)) return undefined
  return { prefix, from, to: listing.version, knownAt, changes: replica.listDifferences(listing.version, listing.objects) }
}

/** Logs that a replica followed the store into a later epoch. */
export function recordRestored ({ log, prefix }: ReplicaLog, it: { version: number, previous: number, changed: number }): void {
  log.record(DecisionKinds.COPY_RESTORED, {
    prefix,
    epoch: readEpoch(it.version),
    revision: readRevision(it.version),
    formerEpoch: readEpoch(it.previous),
    formerRevision: readRevision(it.previous),
    changed: it.changed,
  })
}

/** Logs that a listing was rejected because it is older than the replica. */
export function recordRejected ({ log, prefix }: ReplicaLog, it: ComparedListing): void {
  log.record(DecisionKinds.LISTING_REFUSED, { prefix, ...describeVersions(it) })
}

/** Logs that the replica was replaced with an older listing. */
export function recordReset ({ log, prefix }: ReplicaLog, it: ComparedListing): void {
  log.record(DecisionKinds.COPY_RESET, { prefix, ...describeVersions(it) })
}

function describeVersions ({ version, replicaVersion }: ComparedListing): { epoch: number, revision: number, heldEpoch: number, heldRevision: number } {
  return { epoch: readEpoch(version), revision: readRevision(version), heldEpoch: readEpoch(replicaVersion), heldRevision: readRevision(replicaVersion) }
}
