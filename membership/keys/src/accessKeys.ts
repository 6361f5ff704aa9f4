import { randomBytes, timingSafeEqual } from 'node:crypto'
import { hashAccessKey } from '@pulleystack/core.hashing'

const KEY_BYTES = 24

/** A fresh access key; only its hash is ever stored. */
export function createAccessKey (prefix = 'pk'): string {
  return `${prefix}_${randomBytes(KEY_BYTES).toString('base64url')}`
}

/** Compares a key with stored hashes in constant time; looks at all of them. */
export function matchKeyHash (key: string, hashes: readonly string[]): boolean {
  const given = Buffer.from(hashAccessKey(key))
  let found = false
  for (const keyHash of hashes) {
    const stored = Buffer.from(keyHash)
    if (stored.length === given.length && timingSafeEqual(stored, given)) found = true
  }
  return found
}
