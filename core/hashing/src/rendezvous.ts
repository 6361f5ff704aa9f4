import murmurhash from 'murmurhash'

const HASH_RANGE = 0x100000000

/** A 32-bit hash of a text (MurmurHash3); never used where an adversary may choose the text to gain access. */
export function hashText (text: string, seed = 0): number {
  return murmurhash.v3(text, seed)
}

/** The weight-adjusted rank of one member for a key; larger wins. Weighted rendezvous hashing by the logarithm method. */
export function computeRank (key: string, member: string, weight = 1): number {
  const fraction = (hashText(member, hashText(key)) + 1) / (HASH_RANGE + 1)
  return -weight / Math.log(fraction)
}

/** Members in the order of their rank for the key; a member that leaves moves only what it had. */
export function listRanked<T> (key: string, members: readonly T[], getName: (member: T) => string, getWeight: (member: T) => number = () => 1): T[] {
  const ranked = members.map((member) => ({ member, name: getName(member), rank: computeRank(key, getName(member), getWeight(member)) }))
  ranked.sort((a, b) => b.rank - a.rank || (a.name < b.name ? -1 : 1))
  return ranked.map((it) => it.member)
}

/** The member with the highest rank for the key. */
export function findOwner (key: string, members: Iterable<string>): string | undefined {
  let owner: string | undefined
  let best = -Infinity
  for (const member of members) {
    const rank = computeRank(key, member)
    if (rank > best || (rank === best && owner !== undefined && member < owner)) {
      best = rank
      owner = member
    }
  }
  return owner
}
