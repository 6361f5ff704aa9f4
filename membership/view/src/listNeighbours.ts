import { hashText } from '@pulleystack/core.hashing'

/** Systems of up to this many instances form a full mesh. */
const FULL_MESH_INSTANCES = 9
const RING_COUNT = 2
const SUCCESSORS_PER_RING = 2
const HASH_RANGE = 0x100000000

/**
 * Lists the peers that an instance keeps links to: all in a small system, otherwise its successors on several hash rings.
 * Every instance is thereby monitored by others, and gossip reaches all instances in a few hops.
 */
export function listNeighbours (self: string, others: readonly string[]): string[] {
  if (others.length < FULL_MESH_INSTANCES) return [...others]
  const chosen = new Set<string>()
  for (let ring = 0; ring < RING_COUNT; ring++) {
    for (const name of listSuccessors(self, others, ring)) chosen.add(name)
  }
  return [...chosen]
}

function listSuccessors (self: string, others: readonly string[], ring: number): string[] {
  const start = hashText(self, ring)
  const ranked = others.map((name) => ({ name, distance: (hashText(name, ring) - start + HASH_RANGE) % HASH_RANGE }))
  ranked.sort((a, b) => a.distance - b.distance)
  return ranked.slice(0, SUCCESSORS_PER_RING).map((it) => it.name)
}
