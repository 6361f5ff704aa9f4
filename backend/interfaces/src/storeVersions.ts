/** Revisions of one epoch: a store that makes 10,000 changes a second uses them up in 3.4 years. */
const REVISIONS_PER_EPOCH = 2 ** 40

/** Highest epoch whose versions are still exact numbers. */
export const MAX_EPOCH = Math.floor(Number.MAX_SAFE_INTEGER / REVISIONS_PER_EPOCH)

/**
 * The version of a revision. A store that comes back from an older copy counts its revisions on from that copy and begins another epoch; by the epoch
 * first and the revision second, versions keep the order in which the store made them.
 */
export function buildVersion (epoch: number, revision: number): number {
  return epoch * REVISIONS_PER_EPOCH + revision
}

/** The epoch of a version; 0 where the store names none. */
export function readEpoch (version: number): number {
  return Math.floor(version / REVISIONS_PER_EPOCH)
}

/** The store's own number of a version. */
export function readRevision (version: number): number {
  return version % REVISIONS_PER_EPOCH
}
