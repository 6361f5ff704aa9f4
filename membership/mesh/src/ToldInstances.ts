import type { Clock } from '@pulleystack/core.clock'
import type { PeerIdentity } from '@pulleystack/membership.peers'

/** What another instance said of who serves. */
interface ToldList {
  serving: readonly PeerIdentity[]
  /** Monotone time at which it came. */
  toldAt: number
}

/**
 * Those that others name as serving. A list counts while there is a link over which its teller would tell of changes, and never against what the
 * peers that it names say of themselves.
 */
export class ToldInstances {
  private readonly lists = new Map<string, ToldList>()

  constructor (private readonly clock: Clock) {}

  take (teller: string, serving: readonly PeerIdentity[]): void {
    this.lists.set(teller, { serving, toldAt: this.clock.readTime() })
  }

  /** Its link ended, so that it tells no more of those that end from now on. */
  forget (teller: string): void {
    this.lists.delete(teller)
  }

  hasList (teller: string): boolean {
    return this.lists.has(teller)
  }

  /** Milliseconds since the oldest list came; undefined when there is none. */
  get oldestMs (): number | undefined {
    const times = [...this.lists.values()].map((list) => list.toldAt)
    return times.length > 0 ? Math.round(this.clock.readTime() - Math.min(...times)) : undefined
  }

  /** Those that are named by tellers who serve, but for what contradicts the peers that are linked; each once. */
  list (linked: ReadonlyMap<string, PeerIdentity>): PeerIdentity[] {
    const named = new Map<string, PeerIdentity>()
    for (const [teller, { serving }] of this.lists) {
      // A peer that leaves hears of changes, but tells nobody of them any more.
      const identity = linked.get(teller)
      if (!identity || !isServing(identity)) continue
      for (const told of serving) if (!isContradicted(told, linked.get(told.instance))) named.set(told.instance, told)
    }
    return [...named.values()]
  }
}

/** Whether an instance takes clients' requests for itself and goes on doing so. */
export function isServing (identity: PeerIdentity): boolean {
  return !identity.leaving && !identity.standby
}

/** Whether a peer says itself, in the same life, that it does not serve. The time of day that numbers lives may jump back, so that they are not ordered. */
function isContradicted (told: PeerIdentity, own: PeerIdentity | undefined): boolean {
  return own !== undefined && !isServing(own) && own.incarnation === told.incarnation
}
