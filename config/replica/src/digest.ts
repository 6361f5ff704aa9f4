import { hashText } from '@pulleystack/core.hashing'

/** Keys are spread over this many buckets, so that a repair only lists what differs. */
export const BUCKET_COUNT = 64

/** Summary of everything a replica holds. */
export interface ReplicaDigest {
  /** Every change up to this version is known. */
  knownThrough: number
  root: number
  buckets: number[]
}

/** Keys and versions in one bucket, as of `knownThrough`. */
export interface BucketSummary {
  bucket: number
  knownThrough: number
  entries: [key: string, version: number][]
}

export function getBucket (key: string): number {
  return hashText(key) % BUCKET_COUNT
}

/** Hash of one key at one version; buckets combine them by exclusive or, so that they update in constant time. */
export function hashEntry (key: string, version: number): number {
  return hashText(`${key}@${version}`, 7)
}

/** Combines the buckets to one number that depends on their order. */
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
