import type { Clock } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { StreamOrigin } from '@pulleystack/routing.fleet'
import { InvalidMessages } from './InvalidMessages.js'
import type { ArchivedStream } from './OriginArchive.js'
import { DurableOrigins, type DurableOptions } from './DurableOrigins.js'
import { LOOKUP, RECORDS, parseLookup, parseRecords, type LookupAnswer } from './messages.js'
import { OriginLookup, type LookupOutcome } from './OriginLookup.js'
import { OriginTable } from './OriginTable.js'
import { RecordKeepers } from './RecordKeepers.js'
import { shareVersions } from './shareVersions.js'
import { isName, isRecordId, isSameOrigin } from './StreamOrigin.js'
import type { VersionHistory } from './VersionHistory.js'

/** What an origin was found by. */
const OriginSources = {
  RECORD: 'record',
  PEER: 'peer',
  /** The store's record of an instance, which may have ended. */
  ARCHIVE: 'archive',
  /** No record was needed, as all servers had one version. */
  SOLE_VERSION: 'sole-version',
  /** Neither an instance nor the store had a record, which a stream that began at another version would still have. */
  BASE_VERSION: 'base-version',
} as const
type OriginSource = typeof OriginSources[keyof typeof OriginSources]

/** Time in which a new instance reads which versions there were, before a stream is refused. */
const MAX_RECORDS_WAIT_MS = 50
/** Time in which a stream is found or refused, all waits together; the first without a store, where only other instances are asked. */
const MAX_SEARCH_MS = 250
const MAX_DURABLE_SEARCH_MS = 150
/** Others get this long to answer even if the process was held up until the time was over. */
const MIN_LOOKUP_MS = 50

interface Search {
  services: readonly string[]
  /** Monotonic time in milliseconds at which all waits end. */
  deadline: number
}

interface LookUpOptions extends Search {
  isStoreAnswering: boolean
}

interface OthersAnswer extends LookupOutcome {
  /** Whether all that may have a record were asked. */
  isAskingAll: boolean
}

export interface StreamOriginsOptions {
  clock: Clock
  network: PeerNetwork
  versions: VersionHistory
  log: DecisionLog
  /** Name of this instance. */
  instance: string
  /** Instances that serve clients; may include this one. */
  listServing: () => readonly string[]
  /** Undefined if what instances know ends with them. */
  durable?: DurableOptions
}

/** Origins of streams by the request id of the attempt that brought the first event, known beyond the instance that began them. */
export class StreamOrigins {
  private readonly table: OriginTable
  private readonly keepers: RecordKeepers
  private readonly lookup: OriginLookup
  private readonly invalid: InvalidMessages
  private readonly durable: DurableOrigins | undefined

  constructor (private readonly opts: StreamOriginsOptions) {
    this.table = new OriginTable(opts.clock)
    this.keepers = new RecordKeepers(opts)
    this.invalid = new InvalidMessages(opts.log)
    this.lookup = new OriginLookup({ ...opts, invalid: this.invalid, rankPeers: (requestId) => this.keepers.rankPeers(requestId) })
    this.durable = opts.durable && new DurableOrigins({ ...opts, ...opts.durable, invalid: this.invalid })
  }

  /** Exchanges records and versions with other instances until the signal aborts. */
  start (signal: AbortSignal): void {
    const { network, versions } = this.opts
    this.invalid.start(network, signal)
    network.handleCalls(LOOKUP, (from, body) => this.answerLookup(from, body))
    const subscriptions = [
      network.receive(RECORDS).subscribe(({ from, body }) => this.receiveRecords(from, body)),
      versions.changes.subscribe((service) => this.handleMixed(service, signal)),
    ]
    signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
    shareVersions({ network, versions, invalid: this.invalid }, signal)
    this.durable?.start(signal)
  }

  /**
   * Must be called before a request is sent whose stream may be taken up again; resolves once it may be sent, which waits for the record of a new version, or
   * when the signal aborts.
   */
  async begin (origin: StreamOrigin, signal?: AbortSignal): Promise<void> {
    if (isName(origin.service) && isName(origin.version)) await this.durable?.recorded.waitForRecord(origin.service, origin.version, signal)
  }

  /**
   * Keeps the origin of a stream that may be taken up again in the store. Must be called once for each request and not before the first event, as an attempt
   * that brings none may be followed by one at another version. `streamId` is the request id of the attempt that brought the first event.
   */
  store (streamId: string, origin: StreamOrigin, services: readonly string[] = [origin.service]): void {
    if (isRecordId(streamId) && isName(origin.service) && isName(origin.version)) this.durable?.archive.put(streamId, origin, services)
  }

  /** Software versions of a service without a record. */
  listUnrecorded (service: string): ReadonlySet<string> | undefined {
    return this.durable?.recorded.listUnrecorded(service)
  }

  /** Must be called at the end of each request for which `store` was called. */
  end (streamId: string, { mayBeResumed }: { mayBeResumed: boolean }): void {
    this.durable?.archive.recordEnd(streamId, { mayBeResumed })
  }

  /**
   * Records where a stream began; must be called before its first event is passed on. While the services that the stream could have gone to are mixed, the
   * messages to other instances have been sent on return. Ids and names that are too long are not kept.
   */
  record (requestId: string, origin: StreamOrigin, services: readonly string[] = [origin.service]): void {
    if (!isRecordId(requestId) || !isName(origin.service) || !isName(origin.version)) return
    const kept = this.keep(requestId, origin, { isOwn: true })
    if (services.length > 1) this.durable?.recorded.recordRoute(services, origin.version)
    if (isSameOrigin(kept, origin) && this.opts.versions.isMixed(...services)) this.keepers.tell(requestId, origin)
  }

  /**
   * Finds where a stream began, which may be another service than the given one. Undefined if that is unknown and the services that it could have gone to
   * are mixed or have no known version. Resolves within 0.2 s, 0.25 s without a store; never rejects.
   */
  async find (requestId: string | undefined, service: string, services: readonly string[] = [service]): Promise<StreamOrigin | undefined> {
    const id = isRecordId(requestId) ? requestId : undefined
    const known = id === undefined ? undefined : this.table.find(id)
    if (known) return this.reportFound(id, this.table.record(id as string, known, false), OriginSources.RECORD)
    const deadline = this.opts.clock.readTime() + (this.durable ? MAX_DURABLE_SEARCH_MS : MAX_SEARCH_MS)
    await this.durable?.recorded.waitForRecords(services, MAX_RECORDS_WAIT_MS)
    const sole = this.findSole(services)
    const search = { services, deadline }
    // What others know is asked for beside a read that may take all the time.
    const asked = id !== undefined && sole !== undefined && this.durable?.isLinkedToAll === false ? this.askOthers(id, search) : undefined
    const isUpToDate = sole === undefined || await this.updateRecords(search)
    const version = isUpToDate ? this.findSole(services) : undefined
    if (version !== undefined) return this.reportFound(id, { service, version }, OriginSources.SOLE_VERSION)
    if (id === undefined || (isUpToDate && !this.mayHaveRecord(services))) return this.reportUnknown(id, service)
    return this.lookUp(id, service, asked ?? this.askOthers(id, search), { ...search, isStoreAnswering: isUpToDate })
  }

  /** Resolves to whether the records of the services are up to date. */
  private async updateRecords ({ services, deadline }: Search): Promise<boolean> {
    return !this.durable || await this.waitUntil(deadline, this.durable.recorded.refresh(services)) === true
  }

  private findSole (services: readonly string[]): string | undefined {
    return this.durable?.recorded.hasAllVersions(services) === false ? undefined : this.opts.versions.findSole(...services)
  }

  /** Whether a stream of these services may have a record at another instance or in the store. */
  private mayHaveRecord (services: readonly string[]): boolean {
    return this.opts.versions.isMixed(...services) || this.durable?.recorded.hasAllVersions(services) === false
  }

  /** Asks the other instances for the origin of a stream. */
  private async askOthers (id: string, { services, deadline }: Search): Promise<OthersAnswer> {
    const isAskingAll = this.durable?.witness.isAskingAll ?? false
    return { ...await this.lookup.find(id, services, this.computeLookupMs(deadline)), isAskingAll }
  }

  /** Finds the origin of a stream without a record at this instance. */
  private async lookUp (
    id: string,
    service: string,
    others: Promise<OthersAnswer>,
    { services, deadline, isStoreAnswering }: LookUpOptions,
  ): Promise<StreamOrigin | undefined> {
    const archived = isStoreAnswering ? this.findArchived(id, deadline) : undefined
    const { origin, base, precededBases, mayLackRecords, isAskingAll, asked, silent } = await others
    if (origin) return this.reportFound(id, this.keep(id, origin), OriginSources.PEER)
    const stored = await archived
    if (stored?.origin) return this.reportFound(id, this.keep(id, stored.origin), OriginSources.ARCHIVE)
    const hasNoRecord = stored !== undefined && isAskingAll && silent === 0 && !mayLackRecords
    const version = hasNoRecord ? this.findBase(services, base, precededBases) : undefined
    if (version !== undefined) return this.reportFound(id, { service, version }, OriginSources.BASE_VERSION)
    return this.reportUnknown(id, service, asked, silent)
  }

  /** The version of streams without a record, as this instance or another one knows. */
  private findBase (services: readonly string[], toldByPeer: string | undefined, toldByAll: ReadonlySet<string | undefined>): string | undefined {
    if (!this.durable?.witness.isAskingAll || this.mayLackRecords(services)) return undefined
    const { recorded } = this.durable
    const preceded = recorded.findPrecededBase(services)
    const isSameAtAll = [...toldByAll].every((told) => told === preceded)
    return recorded.findBase(services) ?? toldByPeer ?? (isSameAtAll ? preceded : undefined)
  }

  private mayLackRecords (services: readonly string[]): boolean {
    return this.table.mayLackRecords || (this.durable?.witness.mayLackRecords(services) ?? true)
  }

  /** Undefined if the store can't be read in time. */
  private async findArchived (id: string, deadline: number): Promise<ArchivedStream | undefined> {
    return this.durable && this.waitUntil(deadline, this.durable.archive.find(id))
  }

  /** Resolves to undefined if the result isn't there at the deadline. */
  private waitUntil<T> (deadline: number, result: Promise<T>): Promise<T | undefined> {
    const settled = new AbortController()
    const timeout = this.opts.clock.wait(this.computeLookupMs(deadline), settled.signal).then(() => undefined)
    return Promise.race([result, timeout]).finally(() => settled.abort())
  }

  private computeLookupMs (deadline: number): number {
    return Math.max(MIN_LOOKUP_MS, deadline - this.opts.clock.readTime())
  }

  private reportFound (stream: string | undefined, origin: StreamOrigin, source: OriginSource): StreamOrigin {
    const observedMs = Math.round(this.opts.versions.observedMs)
    this.opts.log.record(DecisionKinds.STREAM_ORIGIN_FOUND, { stream, ...origin, source, observedMs })
    return origin
  }

  private reportUnknown (stream: string | undefined, service: string, asked = 0, silent = 0): undefined {
    const versions = this.opts.versions.list(service).map(({ version }) => version)
    this.opts.log.record(DecisionKinds.STREAM_ORIGIN_UNKNOWN, { stream, service, versions, asked, silent })
  }

  /** Keeps the first origin of a stream; returns it. */
  private keep (stream: string, origin: StreamOrigin, { isOwn = false, peer }: { isOwn?: boolean, peer?: string } = {}): StreamOrigin {
    const kept = this.table.record(stream, origin, isOwn)
    if (!isSameOrigin(kept, origin)) {
      const facts = { stream, ...kept, otherService: origin.service, otherVersion: origin.version, peer }
      this.opts.log.record(DecisionKinds.STREAM_ORIGIN_CONTRADICTED, facts)
    }
    return kept
  }

  private handleMixed (service: string, signal: AbortSignal): void {
    const { versions, log } = this.opts
    log.record(DecisionKinds.SERVICE_MIXED, { service, versions: versions.list(service).map(({ version }) => version) })
    void this.keepers.tellAll(this.table.listOwn(service), signal)
    this.durable?.archive.handleMixed()
  }

  private receiveRecords (from: string, body: unknown): void {
    const { items, isValid } = parseRecords(body)
    if (!isValid) this.invalid.record(from, RECORDS.name)
    for (const [requestId, service, version] of items) this.keep(requestId, { service, version }, { peer: from })
  }

  /** Answers from what this instance knows, so that lookups never cascade. */
  private answerLookup (from: string, body: unknown): LookupAnswer {
    const request = parseLookup(body)
    if (request === undefined) {
      this.invalid.record(from, LOOKUP.name)
      return {}
    }
    const origin = this.table.find(request.requestId)
    if (origin) return { origin: [origin.service, origin.version] }
    return { ...request.services.length > 0 && this.durable?.recorded.describeBase(request.services), mayLackRecords: this.mayLackRecords(request.services) }
  }
}
