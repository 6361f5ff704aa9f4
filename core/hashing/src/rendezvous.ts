import murmurhash from 'murmurhash'

const HASH_RANGE = 0x100000000

/** Returns a 32-bit hash of a text (MurmurHash3). Not cryptographic: don't use it for access checks. */
export function hashText (text: string, seed = 0): number {
  return murmurhash.v3(text, seed)
}

/** Returns a member's rank for a key by weighted rendezvous hashing (logarithm method). The highest rank wins. */
export function computeRank (key: string, member: string, weight = 1): number {
  const fraction = (hashText(member, hashText(key)) + 1) / (HASH_RANGE + 1)
  return -weight / Math.log(fraction)
}

/** Sorts members by their rank for the key, highest first. Removing a member reassigns only the keys that it owned. */
export function rankMembers<T> (key: string, members: readonly T[], getName: (member: T) => string, getWeight: (member: T) => number = () => 1): T[] {
  const ranked = members.map((member) => ({ member, name: getName(member), rank: computeRank(key, getName(member), getWeight(member)) }))
  ranked.sort((a, b) => b.rank - a.rank || (a.name < b.name ? -1 : 1))
  return ranked.map((it) => it.member)
}

/** Returns the member with the highest rank for the key, or undefined if there are no members. */
export function findOwner (key: string, members: Iterable<string>): string | undefined {
  let owner: string | undefined
  let highestRank = -Infinity
  for (const member of members) {
    const rank = computeRank(key, member)
    if (rank > highestRank || (rank === highestRank && owner !== undefined && member < owner)) {
      highestRank = rank
      owner = member
    }
  }
  return owner
}
