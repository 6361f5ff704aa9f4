import { createHash } from 'node:crypto'

/** Long enough to rule out collisions among billions of requests. */
const DIGEST_BYTES = 16

/** Hashes texts and the bytes after them (SHA-256, cut to 128 bits, base64url). Splitting the same content differently changes the hash. */
export function hashParts (texts: readonly string[], bytes: Buffer | undefined): string {
  const digest = createHash('sha256').update(JSON.stringify(texts))
  if (bytes) digest.update(bytes)
  return digest.digest().toString('base64url', 0, DIGEST_BYTES)
}
