import { hashText } from '@pulleystack/core.hashing'

/** Up to this many instances everybody is linked with everybody. */
const FULL_MESH = 9
const RINGS = 2
const SUCCESSORS = 2
const HASH_RANGE = 0x100000000

/**
 * The peers that an instance keeps links to: all in a small system, else its successors on rings that hash the
 * names. Every instance is so watched by as many others, and what one tells reaches all in a few steps.
 */
export function listNeighbours (self: string, others: readonly string[]): string[] {
  if (others.length < FULL_MESH) return [...others]
  const chosen = new Set<string>()
  for (let ring = 0; ring < RINGS; ring++) {
    for (const name of listSuccessors(self, others, ring)) chosen.add(name)
  }
  return [...chosen]
}

function listSuccessors (self: string, others: readonly string[], ring: number): string[] {
  const start = hashText(self, ring)
  const ranked = others.map((name) => ({ name, distance: (hashText(name, ring) - start + HASH_RANGE) % HASH_RANGE }))
  ranked.sort((a, b) => a.distance - b.distance)
  return ranked.slice(0, SUCCESSORS).map((it) => it.name)
}
