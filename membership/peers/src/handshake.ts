import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** Creates the random challenge of a handshake. */
export function createNonce (): string {
  return randomBytes(16).toString('hex')
}

/** Proves possession of the secret. Bound to both nonces and to the sender, which prevents replay and reflection. */
export function createProof (secret: string, peerNonce: string, ownNonce: string, instance: string): string {
  return createHmac('sha256', secret).update(`${peerNonce}|${ownNonce}|${instance}`).digest('hex')
}

export function checkProof (secret: string, proof: string, peerNonce: string, ownNonce: string, instance: string): boolean {
  const expected = Buffer.from(createProof(secret, ownNonce, peerNonce, instance))
  const given = Buffer.from(String(proof))
  return given.length === expected.length && timingSafeEqual(given, expected)
}
