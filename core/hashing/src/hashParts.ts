import { createHash } from 'node:crypto'

/** Enough that no two of billions of requests have the same, in bytes. */
const DIGEST_BYTES = 16

/** A digest (SHA-256, cut to 128 bits, base64url) of texts and bytes that follow; the same bytes split otherwise between them give another one. */
export function hashParts (texts: readonly string[], bytes: Buffer | undefined): string {
  const digest = createHash('sha256').update(JSON.stringify(texts))
  if (bytes) digest.update(bytes)
  return digest.digest().toString('base64url', 0, DIGEST_BYTES)
}
