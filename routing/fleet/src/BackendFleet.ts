import type { PaceSample, PaceTable } from '@pulleystack/routing.pace'
import { Subject, type Observable } from 'rxjs'
import { Backend } from './Backend.js'
import { formatIncarnation, readSoftwareVersion, type BackendEntry, type ServerIncarnation } from './BackendEntry.js'
import { BrittleServices } from './BrittleServices.js'
import { FleetPaces, type BackendPace } from './FleetPaces.js'
import type { LoadTally } from './LoadTally.js'
import type { LimitReport } from './AdvertisedLimit.js'
import type { PromptPart } from './PrefixTracker.js'
import type { PauseSample } from './PrefillShare.js'
import { ServerContacts } from './ServerContacts.js'
import { ReportedStatusCache, type ReportedStatus } from './ReportedStatus.js'
import { WaitingCounts } from './WaitingCounts.js'

export interface FleetChange {
  kind: 'added' | 'updated' | 'removed'
  backend: Backend
}

/** A change of the limit in force at a server. */
export interface LimitChange {
  incarnation: ServerIncarnation
  /** Whether the server reported it to this instance rather than to a peer. */
  isLocal: boolean
  /** Whether more requests may be sent than before. */
  isRaised: boolean
}

/** The newest limit reported by an incarnation of a server. */
export interface IncarnationLimit {
  incarnation: ServerIncarnation
  report: LimitReport
}

/** The part of a processed prompt that other requests may share. */
export interface SharedPrefix {
  backend: string
  weights: string
  parts: readonly PromptPart[]
}

const MAX_PENDING_PREFIXES = 64

/** All backend servers known from the directory and from other instances. */
export class BackendFleet {
  readonly waiting = new WaitingCounts()
  readonly contacts = new ServerContacts()
  readonly brittle = new BrittleServices()
  /** Monotonic time in milliseconds at which a peer last reported a limit in force. */
  peerLimitsReceivedAt = -Infinity
  private readonly backends = new Map<string, Backend>()
  private readonly byService = new Map<string, Backend[]>()
  private readonly changeSubject = new Subject<FleetChange>()
  private readonly pendingPrefixes: SharedPrefix[] = []
  private readonly pendingPauses = new Map<string, PauseSample>()
  private readonly paces = new FleetPaces()
  private readonly pendingOutcomes = new Map<string, { failures: number, total: number }>()
  /** Servers for which an instance last reported load, by instance. */
  private readonly serversLoadedByPeer = new Map<string, string[]>()
  private readonly loadSubject = new Subject<void>()
  private readonly reportedStatuses = new ReportedStatusCache()
  private readonly drainingSubject = new Subject<ServerIncarnation>()
  private readonly limitSubject = new Subject<LimitChange>()
  /** Servers that advertise a limit, by id. */
  private readonly limitedBackends = new Map<string, Backend>()

  get changes (): Observable<FleetChange> {
    return this.changeSubject
  }

  /** Emits when the load of this instance changed at any server. */
  get loadChanges (): Observable<void> {
    return this.loadSubject
  }

  /** Records that a server processes these parts of a prompt, and queues new shared prefixes for the other instances. */
  recordPrefix (backend: Backend, weights: string, parts: readonly PromptPart[]): void {
    // The last part belongs to a single request or session and isn't shared.
    const shared = parts.slice(0, -1)
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0)
    const isNew = shared.length > 0 && backend.cachedPrefixes.countCachedTokens(weights, shared) < sharedTokens
    backend.cachedPrefixes.record(weights, parts)
    if (isNew && this.pendingPrefixes.length < MAX_PENDING_PREFIXES) this.pendingPrefixes.push({ backend: backend.id, weights, parts: shared })
  }

  /** Records that this instance reached a server. */
  recordReached ({ path }: Backend, now: number): void {
    path.recordReached(now)
    this.contacts.recordReached(now)
  }

  /** Records whether a request to a server failed, and queues it for the other instances. */
  recordOutcome (backend: Backend, failed: boolean, now: number): void {
    const failures = failed ? 1 : 0
    backend.failureRate.add(failures, 1, now)
    const pending = this.pendingOutcomes.get(backend.id) ?? { failures: 0, total: 0 }
    this.pendingOutcomes.set(backend.id, { failures: pending.failures + failures, total: pending.total + 1 })
  }

  /** Records the longest pause of a stream as a share of the route's allowed maximum, and queues it for the other instances. */
  recordPause (backend: Backend, share: number, now: number): void {
    backend.prefillShare.addSample({ maxShare: share, streams: 1 }, now)
    const pending = this.pendingPauses.get(backend.id) ?? { maxShare: 0, streams: 0 }
    this.pendingPauses.set(backend.id, { maxShare: Math.max(pending.maxShare, share), streams: pending.streams + 1 })
  }

  /** Paces of the servers of a service. */
  findPaces (service: string): PaceTable {
    return this.paces.find(service)
  }

  /** Records what a stream showed of its server's pace, and queues the pace for the other instances; false if the sample is impossible. */
  recordPace (backend: Backend, sample: PaceSample, now: number): boolean {
    // A stream of a former incarnation shows nothing of the present one.
    return this.backends.get(backend.id) === backend && this.paces.record(backend, sample, now)
  }

  /** Merges paces measured by a peer; returns the impossible ones. */
  applyPeerPaces (paces: unknown, now: number): unknown[] {
    return this.paces.applyFromPeer(paces, (id) => this.backends.get(id), now)
  }

  /** Removes and returns paces that changed since they were last sent to the other instances, as many as fit into a message. */
  takePendingPaces (now: number): BackendPace[] {
    return this.paces.takeChanged(now)
  }

  /** Removes and returns the pauses not yet sent to the other instances. */
  takePendingPauses (): [backend: string, maxShare: number, streams: number][] {
    const pauses = [...this.pendingPauses].map(([id, { maxShare, streams }]): [string, number, number] => [id, Math.round(maxShare * 100) / 100, streams])
    this.pendingPauses.clear()
    return pauses
  }

  /** Removes and returns the outcomes not yet sent to the other instances. */
  takePendingOutcomes (): [backend: string, failures: number, total: number][] {
    const outcomes = [...this.pendingOutcomes].map(([id, { failures, total }]): [string, number, number] => [id, failures, total])
    this.pendingOutcomes.clear()
    return outcomes
  }

  /** Removes and returns the prefixes not yet sent to the other instances. */
  takePendingPrefixes (): SharedPrefix[] {
    return this.pendingPrefixes.splice(0)
  }

  /** Must be called after each change of a server's own load. */
  announceLoadChange (): void {
    this.loadSubject.next()
  }

  find (id: string): Backend | undefined {
    return this.backends.get(id)
  }

  /** Servers of a service, including draining ones. */
  list (service: string): readonly Backend[] {
    return this.byService.get(service) ?? []
  }

  listAll (): Backend[] {
    return [...this.backends.values()]
  }

  /** Replaces all entries; servers without an entry are removed. */
  replaceAll (entries: readonly BackendEntry[]): void {
    const listed = new Set(entries.map((entry) => entry.id))
    for (const id of [...this.backends.keys()]) {
      if (!listed.has(id)) this.remove(id)
    }
    for (const entry of entries) this.put(entry)
  }

  /** Applies a new or changed entry. */
  put (entry: BackendEntry): void {
    const existing = this.backends.get(entry.id)
    if (existing && hasRestarted(existing.entry, entry)) {
      // State of the former incarnation, such as load, cached prefixes and overrides, doesn't apply to the new one.
      this.remove(entry.id)
      // Without another start time, what the former incarnation reported is stored under the same name.
      if (formatIncarnation(existing.entry) === formatIncarnation(entry)) this.reportedStatuses.remove(entry)
    } else if (existing) {
      existing.update(entry)
      this.changeSubject.next({ kind: 'updated', backend: existing })
      return
    }
    const backend = new Backend(entry, this.reportedStatuses.find(entry))
    this.backends.set(entry.id, backend)
    this.updateLimited(backend)
    this.rebuildService(entry.service)
    this.changeSubject.next({ kind: 'added', backend })
  }

  /** Emits servers that announced to this instance that they drain. */
  get drainingServers (): Observable<ServerIncarnation> {
    return this.drainingSubject
  }

  /** Draining incarnations, whichever instance they reported it to, newest first. */
  listDraining (limit: number): ServerIncarnation[] {
    return this.reportedStatuses.listDraining(limit)
  }

  /** Records that the server announced to this instance that it drains; returns whether this is new. */
  recordDraining ({ reported }: Backend): boolean {
    if (!this.applyDrainingFromPeer(reported.incarnation)) return false
    this.drainingSubject.next(reported.incarnation)
    return true
  }

  /** Records that an incarnation drains, whether or not its entry is known; returns whether this is new. */
  applyDrainingFromPeer (incarnation: ServerIncarnation): boolean {
    const status = this.findStatus(incarnation)
    if (status.isDraining) return false
    status.isDraining = true
    this.reportedStatuses.put(status)
    const existing = this.backends.get(incarnation.id)
    if (existing?.reported === status) this.put(existing.entry)
    return true
  }

  /** Records that the server asked this instance to back off for the given milliseconds; returns whether this extends the backoff. */
  recordRetryAfter ({ reported }: Backend, ms: number, now: number): boolean {
    if (!reported.backoff.extend(ms, now)) return false
    this.reportedStatuses.put(reported)
    return true
  }

  /** Emits changes of server limits, whichever instance received the report. */
  get limitChanges (): Observable<LimitChange> {
    return this.limitSubject
  }

  /** Limits currently advertised by servers. */
  listLimits (): IncarnationLimit[] {
    return [...this.limitedBackends.values()].map(({ reported: { incarnation, limit } }) => ({ incarnation, report: limit.report }))
  }

  /** The newest limit reported by an incarnation. */
  findLimit (incarnation: ServerIncarnation): LimitReport {
    return this.findStatus(incarnation).limit.report
  }

  /** Records a limit, or its absence, that the server reported to this instance; returns whether the limit in force changed. */
  recordLimit ({ reported }: Backend, report: LimitReport): boolean {
    return this.updateLimit(reported, report, true)
  }

  /** Applies a limit that an incarnation reported to another instance, whether or not its entry is known; returns whether the limit in force changed. */
  applyLimitFromPeer (incarnation: ServerIncarnation, report: LimitReport): boolean {
    return this.updateLimit(this.findStatus(incarnation), report, false)
  }

  remove (id: string): void {
    const backend = this.backends.get(id)
    if (!backend) return
    this.backends.delete(id)
    this.limitedBackends.delete(id)
    this.paces.remove(backend)
    this.rebuildService(backend.entry.service)
    this.changeSubject.next({ kind: 'removed', backend })
  }

  /** Replaces the load reported by another instance; servers that aren't listed have none. */
  applyPeerLoads (instance: string, loads: ReadonlyMap<string, LoadTally>): void {
    for (const id of this.serversLoadedByPeer.get(instance) ?? []) {
      if (!loads.has(id)) this.backends.get(id)?.applyPeerLoad(instance, undefined)
    }
    for (const [id, tally] of loads) this.backends.get(id)?.applyPeerLoad(instance, tally)
    this.serversLoadedByPeer.set(instance, [...loads.keys()])
  }

  private updateLimit (status: ReportedStatus, report: LimitReport, isLocal: boolean): boolean {
    const previous = status.limit.perSecond ?? Infinity
    if (!status.limit.update(report)) return false
    this.reportedStatuses.put(status)
    const existing = this.backends.get(status.incarnation.id)
    if (existing) this.updateLimited(existing)
    this.limitSubject.next({ incarnation: status.incarnation, isLocal, isRaised: (status.limit.perSecond ?? Infinity) > previous })
    return true
  }

  private updateLimited (backend: Backend): void {
    if (backend.reported.limit.perSecond === undefined) this.limitedBackends.delete(backend.id)
    else this.limitedBackends.set(backend.id, backend)
  }

  /** Self-reported status of an incarnation, whether or not its entry is known. */
  private findStatus (incarnation: ServerIncarnation): ReportedStatus {
    const existing = this.backends.get(incarnation.id)
    return existing !== undefined && formatIncarnation(existing.entry) === formatIncarnation(incarnation)
      ? existing.reported
      : this.reportedStatuses.find(incarnation)
  }

  private rebuildService (service: string): void {
    this.byService.set(service, [...this.backends.values()].filter((backend) => backend.entry.service === service))
  }
}

function hasRestarted (previous: BackendEntry, next: BackendEntry): boolean {
  if (readSoftwareVersion(previous) !== readSoftwareVersion(next)) return true
  return previous.startedAt !== undefined && next.startedAt !== undefined && previous.startedAt !== next.startedAt
}
