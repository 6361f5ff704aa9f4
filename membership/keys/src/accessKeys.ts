import { hash, randomBytes, timingSafeEqual } from 'node:crypto'

const KEY_BYTES = 24

/** A fresh access key; only its hash is ever stored. */
export function createAccessKey (prefix = 'pk'): string {
  return `${prefix}_${randomBytes(KEY_BYTES).toString('base64url')}`
}

/** SHA-256 in hexadecimal. Keys are long random texts, so that no slow hash is needed. */
export function hashAccessKey (key: string): string {
  return hash('sha256', key, 'hex')
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
