import { randomBytes, timingSafeEqual } from 'node:crypto'
import { hashAccessKey } from '@pulleystack/core.hashing'

const KEY_BYTES = 24

/** Creates a random access key. Only its hash is stored. */
export function createAccessKey (prefix = 'pk'): string {
  return `${prefix}_${randomBytes(KEY_BYTES).toString('base64url')}`
}

/** Whether a key matches one of the stored hashes. Takes constant time and compares all of them. */
export function isMatchingKey (key: string, hashes: readonly string[]): boolean {
  const candidate = Buffer.from(hashAccessKey(key))
  let isMatch = false
  for (const hash of hashes) {
    const stored = Buffer.from(hash)
    if (stored.length === candidate.length && timingSafeEqual(stored, candidate)) isMatch = true
  }
  return isMatch
}
