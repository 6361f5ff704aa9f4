import type { Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'
import type { PeerLosses } from './PeerLosses.js'
import { CANDIDATES, FURTHER_ASKED } from './RecordKeepers.js'
import { RETENTION_MS } from './retention.js'
import { isComplete, type StoredVersionRecord } from './VersionRecord.js'

/** Streams that begin from then on keep their records for longer than the base is told; the rest covers messages on their way. */
const MAX_BASE_MS = RETENTION_MS - 10_000
/** Shorter than the entry of an instance that has ended stays in the membership. */
const CHECK_INTERVAL_MS = 1_000
/** Time in which links to all instances open after starts; shorter than the entry of an instance that has ended stays in the membership. */
const MAX_LINKING_MS = 10_000

export interface BaseWitnessOptions {
  clock: Clock
  losses: PeerLosses
  listServing: () => readonly string[]
  /** Whether this instance has links to all others that may serve. */
  isLinkedToAll: () => boolean
}

interface KnownRecord {
  /** Monotonic time in milliseconds at which the record got a further version. */
  at: number
  /** Whether this instance had links to all others then, or has had them since. */
  hasBeenLinkedToAll: boolean
}

/**
 * Whether streams without a record must have begun at the base of their service, while those that began since a further version was recorded still have their
 * records. An instance can tell that wrote that record, or was told by its writer while linked to all others; or all together, if each had started before.
 */
export class BaseWitness {
  /** Records of services that got a version beside their base, as this instance knows at first hand. */
  private readonly witnessed = new Map<string, KnownRecord>()
  /** The same for services whose record this instance had with only the base in it. */
  private readonly preceded = new Map<string, KnownRecord>()

  constructor (private readonly opts: BaseWitnessOptions) {}

  /** Checks the links until the signal aborts. */
  start (signal: AbortSignal): void {
    keepRunning({ task: 'check of links to all instances', clock: this.opts.clock, signal, run: () => this.keepChecking(signal) })
  }

  /** Whether an instance was lost within the retention time. */
  get hasRecentLoss (): boolean {
    const { clock, losses } = this.opts
    return clock.readTime() - losses.lastLossAt < RETENTION_MS
  }

  /** Whether an instance was lost that may have begun streams of these services, at another version than their base, of which no other has a record. */
  mayLackRecords (services: readonly string[]): boolean {
    const { lastSilentAt } = this.opts.losses
    const havePreceded = services.length > 0 && services.every((service) => lastSilentAt < (this.preceded.get(service)?.at ?? -Infinity))
    return this.hasRecentLoss && !havePreceded
  }

  /** Whether a lookup at this instance asks all others that may have a record. */
  get isAskingAll (): boolean {
    return this.opts.isLinkedToAll() && this.opts.listServing().length <= CANDIDATES + FURTHER_ASKED
  }

  /** Whether this instance can tell that streams of a service without a record began at its base. */
  isWitness (service: string): boolean {
    return this.isValid(this.witnessed.get(service))
  }

  /** Whether this process, and so the end of the one before it, preceded the record of a further version. */
  hasPreceded (service: string): boolean {
    return this.isValid(this.preceded.get(service))
  }

  /** Peers that were missing when the record got the version count like those that an instance has not been linked to yet. */
  private isValid (record: KnownRecord | undefined): boolean {
    const { clock, losses } = this.opts
    if (record === undefined || !this.isAskingAll) return false
    return losses.lastSilentAt < record.at && clock.readTime() - record.at < MAX_BASE_MS
  }

  /**
   * Applies the change of a record. `isPrompt` if no stream can have begun at an added version before it was recorded; `isOwn` if this instance wrote the
   * record.
   */
  apply (known: StoredVersionRecord | undefined, record: StoredVersionRecord, { isPrompt, isOwn }: { isPrompt: boolean, isOwn: boolean }): void {
    const { service, versions, base } = record
    const isExtended = versions.some((version) => !known?.versions.includes(version))
    const isFirstHand = isPrompt && this.isFirstHand(known, record, isOwn)
    if (base === undefined || (isExtended && !isPrompt)) this.preceded.delete(service)
    if (base === undefined || (isExtended && !isFirstHand)) this.witnessed.delete(service)
    if (!isPrompt || !known || !isComplete(known) || known.versions.length > 1 || known.versions[0] !== base) return
    const { clock, isLinkedToAll } = this.opts
    for (const records of isFirstHand ? [this.preceded, this.witnessed] : [this.preceded]) {
      records.set(service, { at: clock.readTime(), hasBeenLinkedToAll: isLinkedToAll() })
    }
  }

  /** Whether the instance that wrote a record is this one, or has just told of it while no other could use it unnoticed. */
  private isFirstHand (known: StoredVersionRecord | undefined, { replaced }: StoredVersionRecord, isOwn: boolean): boolean {
    return known !== undefined && replaced === known.objectVersion && (isOwn || this.opts.isLinkedToAll())
  }

  private async keepChecking (signal: AbortSignal): Promise<void> {
    const { clock, losses, isLinkedToAll } = this.opts
    while (!signal.aborted) {
      await clock.wait(CHECK_INTERVAL_MS, signal)
      const isLinked = isLinkedToAll()
      if (!isLinked) losses.extend()
      for (const records of [this.witnessed, this.preceded]) this.checkLinks(records, isLinked)
    }
  }

  /** Deletes records since which an instance may have run without a link to this one, as the end of such an instance is never noticed. */
  private checkLinks (records: Map<string, KnownRecord>, isLinked: boolean): void {
    const oldest = this.opts.clock.readTime() - MAX_LINKING_MS
    for (const [service, record] of records) {
      if (isLinked) record.hasBeenLinkedToAll = true
      else if (record.hasBeenLinkedToAll || record.at < oldest) records.delete(service)
    }
  }
}
