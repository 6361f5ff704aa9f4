import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import { keepRunning } from '@pulleystack/core.tasks'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { readSoftwareVersion, type BackendFleet } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { Subject } from 'rxjs'
import type { BaseWitness } from './BaseWitness.js'
import type { InvalidMessages } from './InvalidMessages.js'
import { RECORDED, parseRecorded, type LookupAnswer } from './messages.js'
import type { PeerLosses } from './PeerLosses.js'
import { RecordReads } from './RecordReads.js'
import { RouteVersions } from './RouteVersions.js'
import { isName } from './StreamOrigin.js'
import type { VersionArchive } from './VersionArchive.js'
import type { VersionHistory } from './VersionHistory.js'
import { isComplete, isSameRecord, mayBeginAt, type StoredVersionRecord } from './VersionRecord.js'
import { VersionRemoval } from './VersionRemoval.js'

/** Time in which the instance chosen for a service writes its record, before the others try. */
const OTHERS_DELAY_MS = 150
const MIN_RETRY_MS = 100
const MAX_RETRY_MS = 1_000
/** A stream waits no longer for the record of its version than this after the version was first seen. */
const MAX_CONFIRM_MS = 1_000
/** No instance has begun a stream at a version without a record that another one has seen for no longer than this. */
const PROMPT_MS = 500
/** Records of further services are read when a server of theirs is seen. */
const MAX_RECORDS = 1_024

export interface RecordedVersionsOptions {
  clock: Clock
  network: PeerNetwork
  fleet: BackendFleet
  versions: VersionHistory
  archive: VersionArchive
  invalid: InvalidMessages
  witness: BaseWitness
  losses: PeerLosses
  log: DecisionLog
  instance: string
  listServing: () => readonly string[]
  /** Whether this instance has links to all others that may serve. */
  isLinkedToAll: () => boolean
}

/** How this instance learnt a record. */
interface LearntRecord {
  /** It wrote the record. */
  isOwn?: boolean
  /** It read the record, as it may have missed others. */
  isRead?: boolean
}

/** When a version that has no record was first seen. */
interface PendingVersion {
  service: string
  version: string
  seenAt: number
  isLogged: boolean
}

/**
 * The software versions at which streams of each service may have begun, kept in the store: a version is recorded before the first stream begins there, so
 * that instances that have all just started know which versions a stream may have.
 */
export class RecordedVersions {
  private readonly records = new Map<string, StoredVersionRecord>()
  private readonly pending = new Map<string, PendingVersion>()
  private readonly writing = new Set<string>()
  private readonly changed = new Subject<void>()
  private hasLoaded = false
  private readonly reads: RecordReads
  private readonly removal: VersionRemoval
  private readonly routeVersions: RouteVersions
  private readonly ended = new AbortController()

  constructor (private readonly opts: RecordedVersionsOptions) {
    this.routeVersions = new RouteVersions(opts.versions)
    this.reads = new RecordReads({ clock: opts.clock, read: (service) => this.readAgain(service) })
    this.removal = new VersionRemoval({
      ...opts,
      isOwner: (service) => this.isOwner(service),
      listRecords: () => [...this.records.values()],
      announce: (record) => this.announce(record),
    })
  }

  /** Loads the records, and keeps them in step with the entries of servers until the signal aborts. */
  start (signal: AbortSignal): void {
    const { clock, network, fleet, archive } = this.opts
    keepRunning({ task: 'load of recorded versions', clock, signal, run: () => this.load(signal) })
    this.removal.start(signal)
    const subscriptions = [
      network.receive(RECORDED).subscribe(({ from, body }) => this.receive(from, body)),
      // A peer that can't read the store decides by these.
      network.peerEvents.subscribe((event) => {
        if (event.kind === 'heard' && event.isNewLink) this.records.forEach((record) => network.send(event.identity.instance, RECORDED, record))
      }),
      archive.restores.subscribe(() => this.restoreRecords(signal)),
      fleet.changes.subscribe(({ kind, backend: { entry } }) => {
        if (kind === 'removed') this.dropPending(entry.service)
        else this.ensureRecorded(entry.service, readSoftwareVersion(entry))
      }),
    ]
    signal.addEventListener('abort', () => {
      this.ended.abort()
      subscriptions.forEach((it) => it.unsubscribe())
    }, { once: true })
    for (const { entry } of fleet.listAll()) this.ensureRecorded(entry.service, readSoftwareVersion(entry))
  }

  /** Whether the records of these services are known, or they have none. */
  private hasRecords (services: readonly string[]): boolean {
    return services.every((service) => this.records.has(service) || (this.hasLoaded && this.opts.versions.list(service).length === 0))
  }

  /** Whether the versions of these services that streams may have begun at are all known. */
  hasAllVersions (services: readonly string[]): boolean {
    return this.hasRecords(services) && services.every((service) => this.hasAllServiceVersions(service))
  }

  private hasAllServiceVersions (service: string): boolean {
    const record = this.records.get(service)
    return record === undefined || isComplete(record)
  }

  /** Resolves once the records of the services are known, or after a time. */
  waitForRecords (services: readonly string[], maxMs: number): Promise<void> {
    return this.waitUntil(() => this.hasRecords(services), maxMs)
  }

  /** Resolves to whether the records of the services are up to date: others tell of newer ones over their links; without one of these, the store is read. */
  async refresh (services: readonly string[]): Promise<boolean> {
    return this.opts.isLinkedToAll() || this.reads.request(services)
  }

  /** Resolves once streams may begin at the version: when it is recorded, or after a time that begins when it was first seen; or when the signal aborts. */
  async waitForRecord (service: string, version: string, signal?: AbortSignal): Promise<void> {
    if (this.isRecorded(service, version)) return
    const { seenAt } = this.notePending(service, version)
    await this.waitUntil(() => this.isRecorded(service, version), seenAt + MAX_CONFIRM_MS - this.opts.clock.readTime(), signal)
    if (!signal?.aborted) this.reportUnconfirmed(service, version)
  }

  /** Versions of a service without a record, at which streams may not be found again; undefined if none of any service is unrecorded. */
  listUnrecorded (service: string): ReadonlySet<string> | undefined {
    if (this.pending.size === 0) return undefined
    const waiting = [...this.pending.values()].filter((it) => it.service === service)
    return new Set(waiting.map(({ version }) => version))
  }

  /**
   * The version at which a stream of one of the services began of which neither any instance nor the store has a record, provided that `mayLackRecords` is
   * false at all instances; undefined if this instance can't tell.
   */
  findBase (services: readonly string[]): string | undefined {
    if (!this.hasAllVersions(services)) return undefined
    const recorded = services.filter((service) => this.records.has(service))
    return recorded.every((service) => this.opts.witness.isWitness(service)) ? this.readBase(recorded) : undefined
  }

  /** As `findBase`, provided that all instances say the same. */
  findPrecededBase (services: readonly string[]): string | undefined {
    if (!this.hasAllVersions(services)) return undefined
    const recorded = services.filter((service) => this.records.has(service))
    return recorded.every((service) => this.opts.witness.hasPreceded(service)) ? this.readBase(recorded) : undefined
  }

  /** What the answer to a lookup says of the base. */
  describeBase (services: readonly string[]): Pick<LookupAnswer, 'base' | 'precededBase'> {
    const [base, precededBase] = [this.findBase(services), this.findPrecededBase(services)]
    return { ...base !== undefined && { base }, ...precededBase !== undefined && { precededBase } }
  }

  private readBase (services: readonly string[]): string | undefined {
    const bases = new Set(services.map((service) => this.records.get(service)?.base))
    return bases.size === 1 ? [...bases][0] : undefined
  }

  /** Records the version of a stream that could have gone to several services for all of them. */
  recordRoute (services: readonly string[], version: string): void {
    for (const service of this.routeVersions.record(services, version)) this.ensureRecorded(service, version)
  }

  /** Resolves once the condition, which a change of the records can bring about, holds, after a time, or when the signal aborts. */
  private async waitUntil (isMet: () => boolean, maxMs: number, signal?: AbortSignal): Promise<void> {
    if (isMet() || maxMs <= 0) return
    const met = new AbortController()
    const subscription = this.changed.subscribe(() => {
      if (isMet()) met.abort()
    })
    await this.opts.clock.wait(maxMs, signal ? AbortSignal.any([signal, met.signal]) : met.signal)
    subscription.unsubscribe()
  }

  private isRecorded (service: string, version: string): boolean {
    return mayBeginAt(this.records.get(service), version)
  }

  private notePending (service: string, version: string): PendingVersion {
    const key = formatPending(service, version)
    const known = this.pending.get(key) ?? { service, version, seenAt: this.opts.clock.readTime(), isLogged: false }
    this.pending.set(key, known)
    return known
  }

  /** Forgets unrecorded versions without a server: when one comes back, streams wait for the record again. */
  private dropPending (service: string): void {
    const missing = this.listMissing(service)
    for (const [key, pending] of this.pending) {
      if (pending.service === service && !missing.includes(pending.version)) this.pending.delete(key)
    }
  }

  private reportUnconfirmed (service: string, version: string): void {
    if (this.isRecorded(service, version)) return
    const pending = this.notePending(service, version)
    if (pending.isLogged) return
    pending.isLogged = true
    this.opts.log.record(DecisionKinds.VERSION_UNCONFIRMED, { service, version, waitedMs: Math.round(this.opts.clock.readTime() - pending.seenAt) })
  }

  /** Writes the versions of a service to the store if one of its servers has another one. */
  private ensureRecorded (service: string, version: string): void {
    if (this.isRecorded(service, version) || !isName(service) || !isName(version)) return
    this.notePending(service, version)
    if (this.writing.has(service)) return
    this.writing.add(service)
    const { signal } = this.ended
    const run = (): Promise<void> => this.recordMissing(service, signal).finally(() => this.writing.delete(service))
    keepRunning({ task: `record of the versions of ${service}`, clock: this.opts.clock, signal, run })
  }

  private async recordMissing (service: string, signal: AbortSignal): Promise<void> {
    const { clock, archive } = this.opts
    await this.waitUntil(() => this.hasLoaded, MAX_CONFIRM_MS)
    // Entries that arrive together are recorded together.
    await clock.wait(this.isOwner(service) ? 0 : OTHERS_DELAY_MS, signal)
    for (let retryMs = MIN_RETRY_MS; !signal.aborted && this.listMissing(service).length > 0; retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs)) {
      const missing = this.listMissing(service)
      const stored = await archive.add(service, missing)
      if (signal.aborted) return
      if (stored.isOk()) this.announce(this.isPrompt(service, missing) ? stored.value : { ...stored.value, replaced: undefined }, { isOwn: true })
      else await clock.wait(retryMs, signal)
      // The record has no room for more.
      if (stored.isOk() && this.listMissing(service).length > 0) return
    }
  }

  /** Versions of a service's servers, and of those that share a route with it, that are not recorded. */
  private listMissing (service: string): string[] {
    const versions = this.opts.fleet.list(service).map(({ entry }) => readSoftwareVersion(entry))
    return [...new Set([...versions, ...this.routeVersions.list(service)])].filter((version) => isName(version) && !this.isRecorded(service, version))
  }

  private isOwner (service: string): boolean {
    const { instance, listServing } = this.opts
    return findOwner(service, [instance, ...listServing()]) === instance
  }

  private async load (signal: AbortSignal): Promise<void> {
    for (let retryMs = MIN_RETRY_MS; !signal.aborted; retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs)) {
      const records = await this.opts.archive.list()
      if (records.isOk()) {
        for (const record of records.value.slice(0, MAX_RECORDS)) this.apply(record)
        this.hasLoaded = true
        this.changed.next()
        return
      }
      await this.opts.clock.wait(retryMs, signal)
    }
  }

  /** Reads the record of a service from the store; returns whether that succeeded. */
  private async readAgain (service: string): Promise<boolean> {
    const stored = await this.opts.archive.read(service)
    if (stored.isErr()) return false
    if (stored.value) this.announce(stored.value, { isRead: true })
    // A store that lacks a known record was restored, and gets it again.
    return stored.value !== undefined || !this.records.has(service)
  }

  /** Writes the records again that the store has lost, which confirms those that it has. */
  private restoreRecords (signal: AbortSignal): void {
    const isInTouch = this.opts.isLinkedToAll() || (this.opts.listServing().length > 0 && !this.opts.witness.hasRecentLoss)
    const known = [...this.records.values()].filter(({ service }) => this.isOwner(service))
    const run = async (): Promise<void> => {
      for (const record of known) {
        const { service, versions } = record
        const stored = await this.opts.archive.add(service, versions, { confirms: isInTouch && isComplete(record) })
        if (signal.aborted) return
        if (stored.isErr()) throw stored.error
        this.announce(stored.value)
      }
    }
    keepRunning({ task: 'restore of recorded versions', clock: this.opts.clock, signal, run })
  }

  private receive (from: string, body: unknown): void {
    const record = parseRecorded(body)
    if (record === undefined) this.opts.invalid.record(from, RECORDED.name)
    else this.announce(record)
  }

  /** Applies a record and tells the other instances if it is news. */
  private announce (record: StoredVersionRecord, learnt: LearntRecord = {}): void {
    if (this.apply(record, learnt)) this.opts.network.broadcast(RECORDED, record)
  }

  /** Applies a record unless a newer one is known; returns whether it changed what is known. */
  private apply (record: StoredVersionRecord, { isOwn = false, isRead = false }: LearntRecord = {}): boolean {
    const known = this.records.get(record.service)
    if (known && known.objectVersion >= record.objectVersion) return false
    const { service, versions, retired, base } = record
    // What is told later is no news.
    this.records.set(service, { ...record, replaced: undefined })
    this.removal.noteRecord(record)
    this.opts.witness.apply(known, record, { isPrompt: this.isPrompt(service, versions), isOwn })
    for (const version of versions) {
      if (this.isRecorded(service, version)) this.pending.delete(formatPending(service, version))
      // The instance that retires a version has not seen it for long; one that missed what came between can't tell.
      if (isRead || this.isRecorded(service, version) || !known?.versions.includes(version)) this.noteSighting(service, version)
    }
    // A server may have come while its version was being removed.
    for (const version of this.listMissing(service)) this.ensureRecorded(service, version)
    if (isSameRecord(known, record)) return false
    this.opts.log.record(DecisionKinds.VERSIONS_RECORDED, { service, versions, retired, base })
    this.changed.next()
    return true
  }

  /** Whether all of the versions were first seen too recently for streams to have begun there without a record. */
  private isPrompt (service: string, versions: readonly string[]): boolean {
    const oldest = this.opts.clock.readTime() - PROMPT_MS
    return versions.every((version) => (this.pending.get(formatPending(service, version))?.seenAt ?? Infinity) >= oldest)
  }

  /** A recorded version counts like one that a peer has just seen. */
  private noteSighting (service: string, version: string): void {
    const { versions } = this.opts
    if (!versions.list(service).some((known) => known.version === version)) versions.applyFromPeer({ service, version, msAgo: 0 })
  }
}

function formatPending (service: string, version: string): string {
  return JSON.stringify([service, version])
}
