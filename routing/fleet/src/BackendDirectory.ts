import type { Clock } from '@pulleystack/core.clock'
import { LRUCache } from 'lru-cache'
import type { BackendEntry } from './BackendEntry.js'
import type { BackendFleet } from './BackendFleet.js'

/** Servers whose entries ran out while the store was away have written themselves again by then. */
const LAPSE_MS = 2_500
/** Entries of servers that had ended before the store came back from an older copy have run out again by then: three heartbeats. */
const REVIVED_MS = 5_000
/** More servers than end within the few seconds that an older copy lacks. */
const MAX_GONE = 10_000

/** Servers of which an older copy of the store says less than was known. */
export interface RevivedServers {
  /** Versions up to this one may be of the older copy. */
  version: number
  /** Each server, and whether it had said that it leaves; the others had gone. */
  servers: [id: string, isLeaving: boolean][]
}

export interface BackendDirectoryOptions {
  clock: Clock
  fleet: BackendFleet
  /** Milliseconds since the store came back; 0 while it is away. */
  readSettledMs: () => number
}

/**
 * Takes what the store says of backend servers into the fleet. An entry that is missing soon after the store was away may only
 * have run out: its server stays until it has had time to write itself again. One that said that it leaves goes at once.
 *
 * A store that came back from an older copy shows entries that their servers have replaced or taken out since. Until a server writes its entry again, such a
 * one adds servers that nothing was known of, and takes nothing back: not the word of a server that leaves, and not its end.
 */
export class BackendDirectory {
  /** How to call off the removal of servers that are missing. */
  private readonly missing = new Map<string, () => void>()
  /** Versions up to this one may be of the older copy. */
  private restoredVersion = -Infinity
  /** Entries of the older copy that may say less than is known, by server. */
  private readonly doubtful = new Map<string, BackendEntry>()
  private cancelRevival: (() => void) | undefined
  /** Version of the newest entry of each server in the fleet. */
  private readonly versions = new Map<string, number>()
  /** Servers that have gone, and whether they had said that they leave. */
  private readonly gone = new LRUCache<string, boolean>({ max: MAX_GONE })

  constructor (private readonly opts: BackendDirectoryOptions) {}

  /** The store came back from an older copy, which what it shows up to this version may stem from. */
  noteRestored (version: number): void {
    this.doubtful.clear()
    this.cancelRevival?.()
    this.cancelRevival = undefined
    this.beginDoubt(version)
  }

  /** What instances that start meanwhile have to be told; undefined when the store shows nothing that was known better. */
  describeRevived (): RevivedServers | undefined {
    const revived = [...this.doubtful.keys()].filter((id) => this.gone.has(id) || this.isLeaving(id))
    if (revived.length === 0) return undefined
    return { version: this.restoredVersion, servers: revived.map((id) => [id, this.isLeaving(id)]) }
  }

  /** Takes what a peer knows better than the older copy; a server's own later word stands. */
  takeRevived ({ version, servers }: RevivedServers): void {
    this.beginDoubt(version)
    for (const [id, isLeaving] of servers) {
      if ((this.versions.get(id) ?? 0) > version) continue
      const entry = this.opts.fleet.find(id)?.entry
      this.removeNow(id)
      this.gone.set(id, isLeaving)
      if (entry) this.doubtful.set(id, entry)
    }
  }

  /** Takes one new or changed entry. */
  put (entry: BackendEntry, version = Infinity): void {
    this.keep(entry.id)
    this.doubtful.delete(entry.id)
    if (version > this.restoredVersion) this.take(entry, version)
    else if (this.cancelRevival !== undefined && this.isDoubtful(entry)) this.doubtful.set(entry.id, entry)
    else this.take(this.keepLeaving(entry), version)
  }

  /** The store has an entry of this name that can't be read: it names no server to use. */
  drop (id: string): void {
    this.keep(id)
    this.doubtful.delete(id)
    this.removeNow(id)
  }

  /** The store has the entries of these servers and no others. */
  keepOnly (listed: ReadonlySet<string>): void {
    for (const { id } of this.opts.fleet.listAll()) {
      if (!listed.has(id)) this.remove(id)
    }
  }

  /** The store has no entry of this server any more. */
  remove (id: string): void {
    this.doubtful.delete(id)
    if (this.missing.has(id)) return
    const { clock, fleet, readSettledMs } = this.opts
    const waitMs = LAPSE_MS - readSettledMs()
    if (waitMs <= 0 || fleet.find(id)?.entry.draining) {
      this.removeNow(id)
      return
    }
    this.missing.set(id, clock.setTimer(waitMs, () => {
      this.missing.delete(id)
      this.removeNow(id)
    }))
  }

  /** Calls off the removal of a server that is missing. */
  private keep (id: string): void {
    this.missing.get(id)?.()
    this.missing.delete(id)
  }

  private take (entry: BackendEntry, version: number): void {
    this.gone.delete(entry.id)
    this.versions.set(entry.id, version)
    this.opts.fleet.put(entry)
  }

  private removeNow (id: string): void {
    const known = this.opts.fleet.find(id)
    if (known) this.gone.set(id, known.entry.draining)
    this.versions.delete(id)
    this.opts.fleet.remove(id)
  }

  /** Entries up to a version may be of an older copy, for as long as servers take to write theirs again. */
  private beginDoubt (version: number): void {
    this.restoredVersion = Math.max(this.restoredVersion, version)
    this.cancelRevival ??= this.opts.clock.setTimer(REVIVED_MS, () => {
      this.cancelRevival = undefined
      this.takeDoubtful()
    })
  }

  /** Whether more may be known of a server than this entry says. */
  private isDoubtful (entry: BackendEntry): boolean {
    const isKnown = this.opts.fleet.find(entry.id) !== undefined
    return this.gone.has(entry.id) || (isKnown && !entry.draining)
  }

  /** A server that has said that it leaves does so, whatever an older entry says. */
  private keepLeaving (entry: BackendEntry): BackendEntry {
    return { ...entry, draining: entry.draining || this.isLeaving(entry.id) }
  }

  private isLeaving (id: string): boolean {
    return this.opts.fleet.find(id)?.entry.draining ?? this.gone.get(id) ?? false
  }

  private takeDoubtful (): void {
    for (const entry of this.doubtful.values()) this.take(this.keepLeaving(entry), this.restoredVersion)
    this.doubtful.clear()
  }
}
