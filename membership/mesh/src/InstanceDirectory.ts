import type { Clock } from '@pulleystack/core.clock'
import { rankMembers } from '@pulleystack/core.hashing'
import { computeServingCount, rankServing, type ServingCandidate } from './chooseServing.js'

/** A registered instance, whether it is running or not. */
export interface KnownInstance extends ServingCandidate {
  peerAddress: string
}

interface Entry extends KnownInstance {
  /** Monotonic ms of the first failure to keep a required link; undefined while linked or when no link is required. */
  unreachableSince: number | undefined
}

/** Links that a standby instance keeps to serving ones. */
const STANDBY_LINK_COUNT = 4
/** Longer than a restart takes; after this time another instance takes over. */
const UNREACHABLE_MS = 1_500

/** The registered instances, and the choice of those that serve. */
export class InstanceDirectory {
  private readonly entries = new Map<string, Entry>()
  /** Monotonic ms of the start of a shortage of serving instances. */
  private shortageSince: number | undefined
  /** Cached ranking of all instances; undefined after a change. */
  private ranked: readonly KnownInstance[] | undefined

  constructor (private readonly clock: Clock, private readonly self: KnownInstance) {}

  get size (): number {
    return this.entries.size + 1
  }

  findAddress (instance: string): string | undefined {
    return this.entries.get(instance)?.peerAddress
  }

  /** Lists all other instances. */
  list (): KnownInstance[] {
    return [...this.entries.values()].map(({ instance, peerAddress, dataHall, capacity }) => ({ instance, peerAddress, dataHall, capacity }))
  }

  /** Adds or updates an instance found in the store or reported by a peer. */
  put (known: KnownInstance): void {
    if (known.instance === this.self.instance) return
    const { instance, peerAddress, dataHall, capacity } = known
    const existing = this.entries.get(instance)
    if (existing?.peerAddress === peerAddress && existing.dataHall === dataHall && existing.capacity === capacity) return
    this.entries.set(instance, { instance, peerAddress, dataHall, capacity, unreachableSince: existing?.unreachableSince })
    this.ranked = undefined
  }

  remove (instance: string): void {
    if (this.entries.delete(instance)) this.ranked = undefined
  }

  /** Marks an instance as linked. */
  recordLinked (instance: string): void {
    const entry = this.entries.get(instance)
    if (entry) entry.unreachableSince = undefined
  }

  /** Marks an instance as unreachable: a link to it is required but not open. */
  recordUnreachable (instance: string): void {
    const entry = this.entries.get(instance)
    if (entry) entry.unreachableSince ??= this.clock.readTime()
  }

  /** Lists instances that have been unreachable for longer than `durationMs`. */
  listUnreachable (durationMs: number): string[] {
    return [...this.entries.values()].filter((it) => this.isUnreachable(it.instance, durationMs)).map((it) => it.instance)
  }

  /** Whether this instance ranks first among the reachable ones. */
  isFirstReachable (): boolean {
    return this.rank().find((it) => !this.isUnreachable(it.instance, UNREACHABLE_MS))?.instance === this.self.instance
  }

  /**
   * Whether this instance should serve. The highest ranked always do. During a shortage, further instances step in by rank,
   * more of them the longer it lasts, since the next ones may be down as well.
   */
  isChosenToServe (serving: ReadonlySet<string>): boolean {
    const servingCount = computeServingCount(this.size)
    const ranked = this.rank()
    if (ranked.slice(0, servingCount).some((it) => it.instance === this.self.instance)) return true
    const shortage = servingCount - serving.size
    if (shortage <= 0) {
      this.shortageSince = undefined
      return false
    }
    this.shortageSince ??= this.clock.readTime()
    const rounds = Math.floor((this.clock.readTime() - this.shortageSince) / UNREACHABLE_MS)
    const substitutes = ranked.slice(servingCount).filter((it) => !serving.has(it.instance)).slice(0, rounds * shortage)
    return substitutes.some((it) => it.instance === this.self.instance)
  }

  /** Lists the peers of a serving instance: all that serve or should serve. */
  listServingNeighbours (serving: ReadonlySet<string>): KnownInstance[] {
    const servingCount = computeServingCount(this.size)
    return this.rank().filter((it, index) => it.instance !== this.self.instance && (index < servingCount || serving.has(it.instance)))
  }

  /** Lists the peers of a standby instance: a few serving ones chosen by hash, plus one more for each that is unreachable. */
  listStandbyNeighbours (serving: ReadonlySet<string>): KnownInstance[] {
    const neighbours: KnownInstance[] = []
    let reachable = 0
    for (const it of rankMembers(this.self.instance, this.listServingNeighbours(serving), (known) => known.instance)) {
      if (reachable >= STANDBY_LINK_COUNT) break
      if (!this.isUnreachable(it.instance, UNREACHABLE_MS)) reachable++
      neighbours.push(it)
    }
    return neighbours
  }

  /** Cached, as the ranking is read many times a second but instances rarely change. */
  private rank (): readonly KnownInstance[] {
    this.ranked ??= rankServing([this.self, ...this.entries.values()])
    return this.ranked
  }

  private isUnreachable (instance: string, durationMs: number): boolean {
    const unreachableSince = this.entries.get(instance)?.unreachableSince
    return unreachableSince !== undefined && this.clock.readTime() - unreachableSince > durationMs
  }
}
