import { hashText } from '@pulleystack/core.hashing'

/** Keys are hashed into buckets so that only the buckets that differ are compared by key. */
export const BUCKET_COUNT = 64

/** Digest of a replica's entries. */
export interface ReplicaDigest {
  /** All changes up to this version are known. */
  knownThrough: number
  root: number
  buckets: number[]
}

/** Keys and versions of one bucket, with all changes up to `knownThrough`. */
export interface BucketSummary {
  bucket: number
  knownThrough: number
  entries: [key: string, version: number][]
}

export function getBucket (key: string): number {
  return hashText(key) % BUCKET_COUNT
}

/** Hash of one key at one version; a bucket is the XOR of its hashes, which allows updates in constant time. */
export function hashEntry (key: string, version: number): number {
  return hashText(`${key}@${version}`, 7)
}

/** Combines the buckets into one order-dependent hash. */
export function combineBuckets (buckets: readonly number[]): number {
  return buckets.reduce((sum, bucket) => (Math.imul(sum, 31) + bucket) >>> 0, 17)
}

export function listDifferentBuckets (ours: readonly number[], theirs: readonly number[]): number[] {
  const different: number[] = []
  for (let i = 0; i < BUCKET_COUNT; i++) {
    if (ours[i] !== theirs[i]) different.push(i)
  }
  return different
}
