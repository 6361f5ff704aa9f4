import type { Clock } from '@pulleystack/core.clock'
import { LRUCache } from 'lru-cache'
import type { BackendEntry } from './BackendEntry.js'
import type { BackendFleet } from './BackendFleet.js'

/** Time in which servers whose entries expired during a store outage publish them again. */
const REPUBLISH_GRACE_MS = 2_500
/** From the choice of a server until the request reaches it, and from a change in the store until this instance has it. */
const DELIVERY_MARGIN_MS = 500
/** Time after which restored entries of stopped servers have expired again. */
const STALE_ENTRY_EXPIRY_MS = 5_000
/** Bounds memory; far more than the servers that stop within the seconds that a snapshot lacks. */
const MAX_REMOVED_SERVERS = 10_000

/** Servers whose entries in the restored snapshot are out of date. */
export interface StaleServers {
  /** Entries up to this version may come from the snapshot. */
  version: number
  /** Servers with whether they had announced that they drain; the others had been removed. */
  servers: [id: string, isDraining: boolean][]
}

export interface BackendDirectoryOptions {
  clock: Clock
  fleet: BackendFleet
  /** Milliseconds since the end of the last store outage in which entries may have expired; 0 during an outage. */
  readMsSinceRecovery: () => number
  /** How long a server that stops as planned still serves after its entry is removed, in milliseconds. */
  drainMs: number
}

/**
 * Applies the store's entries of backend servers to the fleet. An entry that is missing shortly after a store outage may only have expired, so its
 * server stays until it has had time to publish it again, but no longer than it would serve if it were stopping; a draining server is removed at
 * once. After the store was restored from an older snapshot, its entries may add unknown servers, but don't undo a removal or a drain until the
 * server publishes a new entry.
 */
export class BackendDirectory {
  /** Functions that cancel the delayed removal of a missing server, by server. */
  private readonly pendingRemovals = new Map<string, () => void>()
  /** Entries up to this version may come from the restored snapshot. */
  private restoredVersion = -Infinity
  /** Entries of the snapshot that may be out of date, by server. */
  private readonly unconfirmedEntries = new Map<string, BackendEntry>()
  private cancelRestoreTimer: (() => void) | undefined
  /** Version of the newest entry of each server in the fleet. */
  private readonly entryVersions = new Map<string, number>()
  /** Removed servers, and whether they were draining. */
  private readonly removedServers = new LRUCache<string, boolean>({ max: MAX_REMOVED_SERVERS })

  constructor (private readonly opts: BackendDirectoryOptions) {}

  /** Handles a restore of the store from an older snapshot, whose entries have versions up to the given one. */
  handleRestore (version: number): void {
    this.unconfirmedEntries.clear()
    this.cancelRestoreTimer?.()
    this.cancelRestoreTimer = undefined
    this.startRestoreTimer(version)
  }

  /** Returns what instances that start after a restore have to be told; undefined if no entry of the snapshot is known to be out of date. */
  describeStaleServers (): StaleServers | undefined {
    const stale = [...this.unconfirmedEntries.keys()].filter((id) => this.removedServers.has(id) || this.isDraining(id))
    if (stale.length === 0) return undefined
    return { version: this.restoredVersion, servers: stale.map((id) => [id, this.isDraining(id)]) }
  }

  /** Applies what a peer knows of out-of-date entries, except for servers that have published a newer entry since. */
  applyStaleServers ({ version, servers }: StaleServers): void {
    this.startRestoreTimer(version)
    for (const [id, isDraining] of servers) {
      if ((this.entryVersions.get(id) ?? 0) > version) continue
      const entry = this.opts.fleet.find(id)?.entry
      this.removeNow(id)
      this.removedServers.set(id, isDraining)
      if (entry) this.unconfirmedEntries.set(id, entry)
    }
  }

  /** Applies a new or changed entry. */
  put (entry: BackendEntry, version = Infinity): void {
    this.cancelRemoval(entry.id)
    this.unconfirmedEntries.delete(entry.id)
    if (version > this.restoredVersion) this.apply(entry, version)
    else if (this.cancelRestoreTimer !== undefined && this.mayBeStale(entry)) this.unconfirmedEntries.set(entry.id, entry)
    else this.apply(this.keepDraining(entry), version)
  }

  /** Removes a server whose entry can't be read. */
  removeUnreadable (id: string): void {
    this.cancelRemoval(id)
    this.unconfirmedEntries.delete(id)
    this.removeNow(id)
  }

  /** Removes all servers that the store doesn't list. */
  removeAllExcept (listed: ReadonlySet<string>): void {
    for (const { id } of this.opts.fleet.listAll()) {
      if (!listed.has(id)) this.remove(id)
    }
  }

  /** Handles the removal of a server's entry from the store. */
  remove (id: string): void {
    this.unconfirmedEntries.delete(id)
    if (this.pendingRemovals.has(id)) return
    const { clock, fleet, drainMs, readMsSinceRecovery } = this.opts
    const graceMs = Math.min(REPUBLISH_GRACE_MS - readMsSinceRecovery(), drainMs - DELIVERY_MARGIN_MS)
    if (graceMs <= 0 || fleet.find(id)?.entry.draining) {
      this.removeNow(id)
      return
    }
    this.pendingRemovals.set(id, clock.setTimer(graceMs, () => {
      this.pendingRemovals.delete(id)
      this.removeNow(id)
    }))
  }

  private cancelRemoval (id: string): void {
    this.pendingRemovals.get(id)?.()
    this.pendingRemovals.delete(id)
  }

  private apply (entry: BackendEntry, version: number): void {
    this.removedServers.delete(entry.id)
    this.entryVersions.set(entry.id, version)
    this.opts.fleet.put(entry)
  }

  private removeNow (id: string): void {
    const known = this.opts.fleet.find(id)
    if (known) this.removedServers.set(id, known.entry.draining)
    this.entryVersions.delete(id)
    this.opts.fleet.remove(id)
  }

  /** Treats entries up to a version as possibly out of date until servers have had time to publish theirs again. */
  private startRestoreTimer (version: number): void {
    this.restoredVersion = Math.max(this.restoredVersion, version)
    this.cancelRestoreTimer ??= this.opts.clock.setTimer(STALE_ENTRY_EXPIRY_MS, () => {
      this.cancelRestoreTimer = undefined
      this.applyUnconfirmed()
    })
  }

  /** Whether the entry may undo a removal or a drain. */
  private mayBeStale (entry: BackendEntry): boolean {
    const isKnown = this.opts.fleet.find(entry.id) !== undefined
    return this.removedServers.has(entry.id) || (isKnown && !entry.draining)
  }

  /** A drain that was announced isn't undone by an older entry. */
  private keepDraining (entry: BackendEntry): BackendEntry {
    return { ...entry, draining: entry.draining || this.isDraining(entry.id) }
  }

  private isDraining (id: string): boolean {
    return this.opts.fleet.find(id)?.entry.draining ?? this.removedServers.get(id) ?? false
  }

  private applyUnconfirmed (): void {
    for (const entry of this.unconfirmedEntries.values()) this.apply(this.keepDraining(entry), this.restoredVersion)
    this.unconfirmedEntries.clear()
  }
}
