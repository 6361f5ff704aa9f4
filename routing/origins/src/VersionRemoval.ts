import type { Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'
import type { PeerLosses } from './PeerLosses.js'
import { RETENTION_MS } from './retention.js'
import type { VersionArchive } from './VersionArchive.js'
import type { VersionHistory } from './VersionHistory.js'
import { isComplete, removeVersions, type StoredVersionRecord } from './VersionRecord.js'

const INTERVAL_MS = 10_000
/** Time in which all linked instances hear of a record. */
const TELLING_MS = INTERVAL_MS

export interface VersionRemovalOptions {
  clock: Clock
  versions: VersionHistory
  archive: VersionArchive
  losses: PeerLosses
  /** Whether this instance has links to all others that may serve. */
  isLinkedToAll: () => boolean
  isOwner: (service: string) => boolean
  listRecords: () => readonly StoredVersionRecord[]
  /** Applies a record and tells the other instances. */
  announce: (record: StoredVersionRecord) => void
}

/**
 * Removes versions from their record that no server has had within the retention time, in two writes: the first one retires them, after which all wait for a
 * further record before they begin a stream there, so that the second one fails should one of them come back meanwhile, however late it takes effect.
 */
export class VersionRemoval {
  /** Monotonic time in milliseconds at which this instance learnt the newest record of each service. */
  private readonly knownSince = new Map<string, number>()
  /** When the records that may lack versions were first seen to. */
  private readonly incompleteSince = new Map<string, number>()

  constructor (private readonly opts: VersionRemovalOptions) {}

  start (signal: AbortSignal): void {
    keepRunning({ task: 'removal of recorded versions', clock: this.opts.clock, signal, run: () => this.keepRemoving(signal) })
  }

  /** Must be called for each newer record. */
  noteRecord (record: StoredVersionRecord): void {
    const now = this.opts.clock.readTime()
    this.knownSince.set(record.service, now)
    if (isComplete(record)) this.incompleteSince.delete(record.service)
    else if (!this.incompleteSince.has(record.service)) this.incompleteSince.set(record.service, now)
  }

  private async keepRemoving (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.opts.clock.wait(INTERVAL_MS, signal)
      for (const record of this.opts.listRecords()) {
        if (!signal.aborted && this.isDue(record)) await this.removeGone(record)
      }
    }
  }

  private isDue (record: StoredVersionRecord): boolean {
    const { clock, versions, isOwner } = this.opts
    const { service } = record
    if ((record.versions.length === 1 && isComplete(record)) || !isOwner(service)) return false
    const incompleteSince = this.incompleteSince.get(service) ?? -Infinity
    if (versions.observedMs < RETENTION_MS || clock.readTime() - incompleteSince < RETENTION_MS) return false
    return record.retired === undefined || this.isToldToAll(service)
  }

  /** Whether all instances know a record by now; those that were lost since, or are still missing, have had the retention time to come back and be told. */
  private isToldToAll (service: string): boolean {
    const { clock, losses, isLinkedToAll } = this.opts
    const since = this.knownSince.get(service) ?? Infinity
    const isInTouch = isLinkedToAll() && losses.lastLossAt < since
    return clock.readTime() - since >= (isInTouch ? TELLING_MS : RETENTION_MS)
  }

  /** Also ends the time in which versions count that the record may have lacked. */
  private async removeGone (record: StoredVersionRecord): Promise<void> {
    const { versions, archive, announce } = this.opts
    const counting = versions.list(record.service).map(({ version }) => version)
    const gone = record.versions.filter((version) => !counting.includes(version))
    if (gone.length === 0 && isComplete(record)) return
    const stored = await archive.replace(record, removeVersions(record, gone))
    if (stored.isOk()) announce(stored.value)
  }
}
