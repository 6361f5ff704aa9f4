import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** Fresh text that a peer must prove its key on. */
export function createNonce (): string {
  return randomBytes(16).toString('hex')
}

/** Proof that its sender holds the secret; bound to both nonces and to the sender, so that it can't be sent back. */
export function createProof (secret: string, theirNonce: string, ownNonce: string, instance: string): string {
  return createHmac('sha256', secret).update(`${theirNonce}|${ownNonce}|${instance}`).digest('hex')
}

export function checkProof (secret: string, proof: string, theirNonce: string, ownNonce: string, instance: string): boolean {
  const expected = Buffer.from(createProof(secret, ownNonce, theirNonce, instance))
  const given = Buffer.from(String(proof))
  return given.length === expected.length && timingSafeEqual(given, expected)
}
