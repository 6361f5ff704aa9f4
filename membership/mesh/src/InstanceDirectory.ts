import type { Clock } from '@pulleystack/core.clock'
import { listRanked } from '@pulleystack/core.hashing'
import { countServing, rankServing, type ServingCandidate } from './chooseServing.js'

/** What is known of one other instance, whether it lives or not. */
export interface KnownInstance extends ServingCandidate {
  peerAddress: string
}

interface Entry extends KnownInstance {
  /** Monotone time since which no link to it came up though one was wanted; undefined while there is one or none is wanted. */
  missingSince: number | undefined
}

/** Links that an instance on standby keeps to ones that serve. */
const STANDBY_LINKS = 4
/** An instance that could not be reached for this long is replaced by another; one that restarts is back sooner. */
const MISSING_MS = 1_500

/** Which instances there are, and which of them are to serve. */
export class InstanceDirectory {
  private readonly entries = new Map<string, Entry>()
  /** Monotone time since which fewer serve than should. */
  private shortSince: number | undefined
  /** The order of all known instances; undefined after a change until it is asked for. */
  private ranked: readonly KnownInstance[] | undefined

  constructor (private readonly clock: Clock, private readonly self: KnownInstance) {}

  get size (): number {
    return this.entries.size + 1
  }

  findAddress (instance: string): string | undefined {
    return this.entries.get(instance)?.peerAddress
  }

  /** All other instances that are known. */
  list (): KnownInstance[] {
    return [...this.entries.values()].map(({ instance, peerAddress, dataHall, capacity }) => ({ instance, peerAddress, dataHall, capacity }))
  }

  /** Takes what the store or a peer says of an instance. */
  put (known: KnownInstance): void {
    if (known.instance === this.self.instance) return
    const { instance, peerAddress, dataHall, capacity } = known
    const present = this.entries.get(instance)
    if (present?.peerAddress === peerAddress && present.dataHall === dataHall && present.capacity === capacity) return
    this.entries.set(instance, { instance, peerAddress, dataHall, capacity, missingSince: present?.missingSince })
    this.ranked = undefined
  }

  remove (instance: string): void {
    if (this.entries.delete(instance)) this.ranked = undefined
  }

  /** A link to it is up. */
  noteLinked (instance: string): void {
    const entry = this.entries.get(instance)
    if (entry) entry.missingSince = undefined
  }

  /** A link to it is wanted, and there is none. */
  noteMissing (instance: string): void {
    const entry = this.entries.get(instance)
    if (entry) entry.missingSince ??= this.clock.readTime()
  }

  /** Instances that could not be reached for so long. */
  listMissing (forMs: number): string[] {
    return [...this.entries.values()].filter((it) => this.isMissing(it.instance, forMs)).map((it) => it.instance)
  }

  /** Whether this instance comes first in the order of all that can be reached. */
  isFirst (): boolean {
    return this.rank().find((it) => !this.isMissing(it.instance, MISSING_MS))?.instance === this.self.instance
  }

  /**
   * Whether this instance is to serve: the first in the order always do. While fewer serve than should, those behind them
   * do too, the more of them the longer it lasts, since the next ones may be dead as well.
   */
  isChosen (serving: ReadonlySet<string>): boolean {
    const wanted = countServing(this.size)
    const ranked = this.rank()
    if (ranked.slice(0, wanted).some((it) => it.instance === this.self.instance)) return true
    const lacking = wanted - serving.size
    if (lacking <= 0) {
      this.shortSince = undefined
      return false
    }
    this.shortSince ??= this.clock.readTime()
    const turns = Math.floor((this.clock.readTime() - this.shortSince) / MISSING_MS)
    const next = ranked.slice(wanted).filter((it) => !serving.has(it.instance)).slice(0, turns * lacking)
    return next.some((it) => it.instance === this.self.instance)
  }

  /** Instances to which one that serves keeps links: all that serve or should. */
  listServingNeighbours (serving: ReadonlySet<string>): KnownInstance[] {
    const wanted = countServing(this.size)
    return this.rank().filter((it, at) => it.instance !== this.self.instance && (at < wanted || serving.has(it.instance)))
  }

  /** A few instances that serve or should, others for each one on standby; unreachable ones stay, and others come beside them. */
  listStandbyNeighbours (serving: ReadonlySet<string>): KnownInstance[] {
    const neighbours: KnownInstance[] = []
    let reachable = 0
    for (const it of listRanked(this.self.instance, this.listServingNeighbours(serving), (known) => known.instance)) {
      if (reachable >= STANDBY_LINKS) break
      if (!this.isMissing(it.instance, MISSING_MS)) reachable++
      neighbours.push(it)
    }
    return neighbours
  }

  /** Who serves is asked for many times a second, while instances seldom come or go. */
  private rank (): readonly KnownInstance[] {
    this.ranked ??= rankServing([this.self, ...this.entries.values()])
    return this.ranked
  }

  private isMissing (instance: string, forMs: number): boolean {
    const since = this.entries.get(instance)?.missingSince
    return since !== undefined && this.clock.readTime() - since > forMs
  }
}
