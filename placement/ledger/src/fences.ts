import { readEpoch, readRevision } from '@pulleystack/backend.interfaces'

const FENCES_PER_EPOCH = 2 ** 20

/** Returns the lower bound of an epoch's fences; 0 in the first epoch of the store. */
export function computeFirstFence (epoch: number): number {
  return epoch * FENCES_PER_EPOCH
}

/**
 * Computes the fence of a new holder, higher than any issued before. It is also derived from the record's version, because
 * fences issued before a restore of the store, or in a record that was overwritten, may be missing from the current record.
 */
export function computeNextFence (current: number, version: number): number {
  const epoch = readEpoch(version)
  if (epoch === 0) return current + 1
  const versionFence = computeFirstFence(epoch) + Math.min(readRevision(version), FENCES_PER_EPOCH - 1)
  return Math.max(current, versionFence) + 1
}
