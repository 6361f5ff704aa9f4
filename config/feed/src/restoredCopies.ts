import { readEpoch, readRevision, type StoreListing } from '@pulleystack/backend.interfaces'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { FeedNews } from './channels.js'
import type { FeedCopy } from './FeedCopy.js'

/** Where the copy of one prefix is logged. */
export interface CopyRecord {
  log: DecisionLog
  prefix: string
}

/** Versions of a listing and of the copy that it is compared with. */
export interface ComparedListing {
  version: number
  held: number
}

/** Whether the store came back from an older copy between two versions. */
export function isOfLaterEpoch (version: number, than: number): boolean {
  return readEpoch(version) > readEpoch(than)
}

/** What a listing of a later epoch changes in a copy, for peers that hold the same; undefined when it is of the copy's own epoch. */
export function describeRestored (prefix: string, copy: FeedCopy, listing: StoreListing, knownAt: number): FeedNews | undefined {
  const from = copy.revision
  if (from === undefined || !isOfLaterEpoch(listing.version, from)) return undefined
  return { prefix, from, to: listing.version, knownAt, changes: copy.listDifferences(listing.version, listing.objects) }
}

/** Logs that a copy follows the store into another epoch. */
export function recordRestored ({ log, prefix }: CopyRecord, it: { version: number, former: number, changed: number }): void {
  log.record(DecisionKinds.COPY_RESTORED, {
    prefix,
    epoch: readEpoch(it.version),
    revision: readRevision(it.version),
    formerEpoch: readEpoch(it.former),
    formerRevision: readRevision(it.former),
    changed: it.changed,
  })
}

/** Logs that a listing was older than the copy. */
export function recordRefused ({ log, prefix }: CopyRecord, it: ComparedListing): void {
  log.record(DecisionKinds.LISTING_REFUSED, { prefix, ...describeCompared(it) })
}

/** Logs that the copy was given up for an older listing. */
export function recordReset ({ log, prefix }: CopyRecord, it: ComparedListing): void {
  log.record(DecisionKinds.COPY_RESET, { prefix, ...describeCompared(it) })
}

function describeCompared ({ version, held }: ComparedListing): { epoch: number, revision: number, heldEpoch: number, heldRevision: number } {
  return { epoch: readEpoch(version), revision: readRevision(version), heldEpoch: readEpoch(held), heldRevision: readRevision(held) }
}
