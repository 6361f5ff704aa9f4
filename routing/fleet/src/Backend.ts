import { FailureRate, OutlierDetector } from '@pulleystack/routing.retries'
import { hasWeights, type BackendEntry } from './BackendEntry.js'
import { NO_LOAD, sumTallies, type LoadTally } from './LoadTally.js'
import { PrefixMemory } from './PrefixMemory.js'
import { ReadingShare } from './ReadingShare.js'
import { StatedFacts } from './StatedFacts.js'

const DEFAULT_CACHE_TOKENS = 200_000
const FIRST_DOWN_MS = 400
const MAX_DOWN_MS = 3_000
/** What others say of a server counts for nothing while this instance itself has just reached it. */
const OWN_WORD_MS = 2_000

/** One backend server as this instance sees it. */
export class Backend {
  /** What this instance has in hand there. */
  readonly own: LoadTally = { ...NO_LOAD }
  /** What other instances said they have in hand there, by instance, and its sum, which is read for every request. */
  private readonly others = new Map<string, LoadTally>()
  private othersSum = NO_LOAD
  readonly outlier = new OutlierDetector()
  /** As all instances together see it. */
  readonly failureRate = new FailureRate()
  readonly readingShare = new ReadingShare()
  readonly prefixes = new PrefixMemory(DEFAULT_CACHE_TOKENS)
  /** Models that came or are to go, as the holder told before the entry does. */
  private readonly modelChanges = new Map<string, boolean>()
  /** Adapters that were loaded or dropped since the entry was written, by model. */
  private readonly adapterChanges = new Map<string, Map<string, boolean>>()

  private connectFailures = 0
  private downUntil = -Infinity
  private reachedAt = -Infinity

  private current: BackendEntry

  constructor (entry: BackendEntry, readonly stated = new StatedFacts({ id: entry.id, startedAt: entry.startedAt })) {
    this.current = this.merge(entry)
  }

  /** The server's entry, with what it said of itself since. */
  get entry (): BackendEntry {
    return this.current
  }

  /** Whether it doesn't leave, and a connection would likely come up. */
  isStaying (now: number): boolean {
    return !this.current.draining && this.isReachable(now)
  }

  /** Whether a connection would likely come up. */
  isReachable (now: number): boolean {
    return now >= this.downUntil
  }

  /** No connection came up; the server is left out for a while, each time longer. */
  noteUnreachable (now: number): void {
    if (now < this.downUntil) return
    this.downUntil = now + Math.min(MAX_DOWN_MS, FIRST_DOWN_MS * 2 ** this.connectFailures)
    this.connectFailures++
  }

  /** Another instance could not connect. */
  noteReportedDown (now: number): void {
    if (now - this.reachedAt > OWN_WORD_MS) this.noteUnreachable(now)
  }

  /** The server answered. */
  noteReached (now: number): void {
    this.connectFailures = 0
    this.downUntil = -Infinity
    this.reachedAt = now
  }

  get id (): string {
    return this.entry.id
  }

  /** What all instances together have in hand there. */
  readLoad (): LoadTally {
    return sumTallies([this.own, this.othersSum])
  }

  /** Takes what another instance has in hand there; undefined for nothing. */
  takeOther (instance: string, tally: LoadTally | undefined): void {
    if (tally) this.others.set(instance, tally)
    else if (!this.others.delete(instance)) return
    this.othersSum = sumTallies(this.others.values())
  }

  /** Whether it has the model, and the adapter if one is named. */
  hasWeights (model: string, adapter?: string): boolean {
    if (!(this.modelChanges.get(model) ?? hasWeights(this.entry, model))) return false
    if (adapter === undefined) return true
    return this.adapterChanges.get(model)?.get(adapter) ?? hasWeights(this.entry, model, adapter)
  }

  /** Notes a model that is there, or that takes no new requests since it is to go, before the server's entry tells it. */
  noteModel (model: string, present: boolean): void {
    this.modelChanges.set(model, present)
  }

  /** From now on only the server's entry says whether it has the model. */
  forgetModelChange (model: string): void {
    this.modelChanges.delete(model)
  }

  /** Notes an adapter loaded or dropped before the server's entry tells it. */
  noteAdapter (model: string, adapter: string, present: boolean): void {
    const changes = this.adapterChanges.get(model) ?? new Map<string, boolean>()
    changes.set(adapter, present)
    this.adapterChanges.set(model, changes)
  }

  /** Takes a newer entry. A model that went has taken its adapters along. */
  update (entry: BackendEntry): void {
    for (const [model, present] of this.modelChanges) {
      if (hasWeights(entry, model) === present) this.modelChanges.delete(model)
    }
    for (const model of this.adapterChanges.keys()) {
      if (!hasWeights(entry, model)) this.adapterChanges.delete(model)
    }
    this.current = this.merge(entry)
  }

  // An entry may have been written before the server said it, or go on saying otherwise until the store has taken its word.
  private merge (entry: BackendEntry): BackendEntry {
    return this.stated.isLeaving && !entry.draining ? { ...entry, draining: true } : entry
  }
}
