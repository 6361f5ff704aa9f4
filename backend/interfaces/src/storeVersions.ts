/** Revisions in one epoch: enough for more than three years at 10,000 changes per second. */
const REVISIONS_PER_EPOCH = 2 ** 40

/** Highest epoch whose versions are safe integers. */
export const MAX_EPOCH = Math.floor(Number.MAX_SAFE_INTEGER / REVISIONS_PER_EPOCH)

/**
 * Builds a version that orders by epoch first and revision second. A store that is restored from an older snapshot continues with the revisions of the
 * snapshot in a new epoch, so its versions still increase.
 */
export function buildVersion (epoch: number, revision: number): number {
  return epoch * REVISIONS_PER_EPOCH + revision
}

/** Returns the epoch of a version; 0 if the store reports none. */
export function readEpoch (version: number): number {
  return Math.floor(version / REVISIONS_PER_EPOCH)
}

/** Returns the store's revision of a version. */
export function readRevision (version: number): number {
  return version % REVISIONS_PER_EPOCH
}
