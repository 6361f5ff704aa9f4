import { findOwner } from '@pulleystack/core.hashing'

/** Bounds the memory used for servers that are gone. */
const MAX_KEYS = 1_000

/** Remembers the owners of keys while the members stay the same: ranking 350 members takes more than a millisecond. */
export class OwnerCache {
  private members: readonly string[] = []
  private readonly owners = new Map<string, string | undefined>()

  find (key: string, members: readonly string[]): string | undefined {
    const isSame = members.length === this.members.length && members.every((member, at) => member === this.members[at])
    if (!isSame || this.owners.size >= MAX_KEYS) this.owners.clear()
    this.members = members
    if (!this.owners.has(key)) this.owners.set(key, findOwner(key, members))
    return this.owners.get(key)
  }
}
