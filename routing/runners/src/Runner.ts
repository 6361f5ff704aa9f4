import { InstanceRoles, type ListedInstance, type ResidentItem } from '@pulleystack/backend.interfaces'
import { AdaptiveLimiter, type ConcurrencyLimiter } from '@pulleystack/routing.limiter'
import { OutlierDetector } from '@pulleystack/routing.retries'
import { PrefixIndex } from './PrefixIndex.js'
import type { RunnerUpdate } from './RunnerUpdate.js'

const DEFAULT_SLOTS = 8
const DEFAULT_PLAIN_SLOTS = 64
const EWMA_WEIGHT = 0.1
const OUTDATED_AFTER_SERVICE_TIMES = 3
const MISSED_REPORTS_UNTIL_SILENT = 3
const MIN_SILENCE_MS = 1_500
const INITIAL_SERVICE_MS = 200
const INITIAL_PREFILL_MS = 4

interface InFlightSample {
  at: number
  inFlight: number
}

interface ReportState {
  /** Monotonic time at which the server measured these values. */
  measuredAt: number
  intervalMs: number
  running: number
  waiting: number
  slots: number
  freeBytes: number
}

/** This instance's view of one backend server. */
export class Runner {
  readonly cache = new PrefixIndex()
  readonly limiter: ConcurrencyLimiter
  readonly outlier: OutlierDetector
  /** Smoothed milliseconds that a request occupies a slot. */
  serviceMs = INITIAL_SERVICE_MS
  /** Smoothed milliseconds per token of a request, including its wait at the server. */
  msPerToken = 0
  /** Smoothed milliseconds to prefill one uncached block. */
  prefillMsPerBlock = INITIAL_PREFILL_MS
  /** Monotonic time until which the server requested a pause. */
  pausedUntil = 0
  private readonly items = new Map<string, ResidentItem>()
  private readonly inFlightByPartner = new Map<string, number>()
  private readonly inFlightByItem = new Map<string, number>()
  /** Items about to be removed, by the monotonic time until which they get no new requests. */
  private readonly drainingUntil = new Map<string, number>()
  private report: ReportState | undefined
  private incarnation = ''
  private lastSeq = 0
  private inFlightSamples: InFlightSample[] = [{ at: -Infinity, inFlight: 0 }]
  private inFlight = 0
  private lookupsInFlight = 0

  constructor (public server: ListedInstance) {
    this.limiter = new AdaptiveLimiter({ initialLimit: server.role === InstanceRoles.PLAIN ? DEFAULT_PLAIN_SLOTS : DEFAULT_SLOTS })
    this.outlier = new OutlierDetector()
  }

  get id (): string {
    return this.server.id
  }

  get ownInFlight (): number {
    return this.inFlight
  }

  get slots (): number {
    return this.report?.slots ?? (this.server.role === InstanceRoles.PLAIN ? DEFAULT_PLAIN_SLOTS : DEFAULT_SLOTS)
  }

  get freeBytes (): number {
    return this.report?.freeBytes ?? 0
  }

  /** Monotonic time of the newest report, undefined before the first. */
  get reportedAt (): number | undefined {
    return this.report?.measuredAt
  }

  get waiting (): number {
    return this.report?.waiting ?? 0
  }

  listItems (): ResidentItem[] {
    return [...this.items.values()]
  }

  hasReady (item: string): boolean {
    return this.items.get(item)?.state === 'ready' && !this.drainingUntil.has(item)
  }

  /** Sends no new requests for an item until a monotonic time; returns how many of this instance are still in flight for it. */
  drain (item: string, until: number): number {
    this.drainingUntil.set(item, until)
    return this.inFlightByItem.get(item) ?? 0
  }

  /** Resumes requests for items that were not removed by the end of their drain. */
  clearExpiredDrains (now: number): void {
    for (const [item, until] of this.drainingUntil) {
      if (until <= now) this.drainingUntil.delete(item)
    }
  }

  /** Partners with a resident item or a service on this server. */
  listPartners (): Set<string> {
    const names = [...this.items.keys(), ...this.server.services ?? []]
    return new Set(names.map((name) => name.slice(0, name.indexOf('/'))))
  }

  /** Requests of this instance in flight, without lookups. */
  get workInFlight (): number {
    return this.inFlight - this.lookupsInFlight
  }

  countInFlight (partner: string): number {
    return this.inFlightByPartner.get(partner) ?? 0
  }

  /** Applies a report; returns false if it is older than the current one. */
  applyUpdate (update: RunnerUpdate, now: number): boolean {
    if (update.life !== this.incarnation) this.startIncarnation(update.life)
    else if (update.seq <= this.lastSeq) return false
    this.lastSeq = update.seq
    const { everyMs, running, waiting, slots, freeBytes } = update
    this.report = { measuredAt: now - update.ageMs, intervalMs: everyMs, running, waiting, slots, freeBytes }
    if (update.items) this.replaceItems(update.items)
    this.cache.applyEvents(update.cacheEvents, update.cacheSeq)
    this.dropOldSamples()
    return true
  }

  /** Estimated requests at the server: the last report, corrected by what this instance started and finished since. */
  estimateLoad (): number {
    if (!this.report) return this.inFlight
    const measuredAt = this.report.measuredAt
    const inFlightAtReport = this.inFlightSamples.findLast((sample) => sample.at <= measuredAt)?.inFlight ?? 0
    return Math.max(this.inFlight, this.report.running + this.report.waiting + this.inFlight - inFlightAtReport)
  }

  /** True if reports have stopped arriving: the server may be frozen or unreachable. */
  isSilent (now: number): boolean {
    return this.report !== undefined && now - this.report.measuredAt > Math.max(MIN_SILENCE_MS, MISSED_REPORTS_UNTIL_SILENT * this.report.intervalMs)
  }

  /** True if the requests counted in the last report have probably finished; only response times then indicate the load. */
  isOutdated (now: number): boolean {
    return this.report !== undefined && now - this.report.measuredAt > OUTDATED_AFTER_SERVICE_TIMES * this.serviceMs
  }

  /**
   * True if the engine's slots are occupied according to its report, allowing for requests that have probably finished
   * since. Further requests wait in this instance's queue, which orders them by class, share and deadline.
   */
  isFull (now: number): boolean {
    if (!this.report || this.isOutdated(now)) return false
    const expectedCompletions = Math.ceil(this.slots * (now - this.report.measuredAt) / this.serviceMs)
    return this.estimateLoad() >= this.slots + Math.min(this.slots, Math.max(1, expectedCompletions))
  }

  recordStart (partner: string, isLookup: boolean, now: number, item?: string): void {
    if (item !== undefined) this.inFlightByItem.set(item, (this.inFlightByItem.get(item) ?? 0) + 1)
    this.inFlight++
    if (isLookup) this.lookupsInFlight++
    this.inFlightByPartner.set(partner, this.countInFlight(partner) + 1)
    this.inFlightSamples.push({ at: now, inFlight: this.inFlight })
    if (!this.report) this.dropOldSamples()
  }

  recordEnd (partner: string, isLookup: boolean, now: number, item?: string): void {
    if (item !== undefined) this.inFlightByItem.set(item, (this.inFlightByItem.get(item) ?? 1) - 1)
    this.inFlight--
    if (isLookup) this.lookupsInFlight--
    this.inFlightByPartner.set(partner, this.countInFlight(partner) - 1)
    this.inFlightSamples.push({ at: now, inFlight: this.inFlight })
  }

  recordServiceTime (ms: number, tokens?: number): void {
    this.serviceMs += (ms - this.serviceMs) * EWMA_WEIGHT
    if (tokens) this.msPerToken += (ms / tokens - this.msPerToken) * EWMA_WEIGHT
  }

  /** Updates the prefill time per block from a first token, unless requests are waiting at the server. */
  recordPrefill (missingBlocks: number, firstTokenMs: number): void {
    if (missingBlocks < 1 || this.waiting > 0) return
    this.prefillMsPerBlock += (firstTokenMs / missingBlocks - this.prefillMsPerBlock) * EWMA_WEIGHT
  }

  private startIncarnation (incarnation: string): void {
    this.incarnation = incarnation
    this.items.clear()
    this.cache.clear()
  }

  private replaceItems (items: readonly ResidentItem[]): void {
    this.items.clear()
    for (const item of items) this.items.set(item.item, item)
    for (const item of this.drainingUntil.keys()) {
      if (!this.items.has(item)) this.drainingUntil.delete(item)
    }
  }

  private dropOldSamples (): void {
    const measuredAt = this.report?.measuredAt ?? Infinity
    const firstNeeded = this.inFlightSamples.findLastIndex((sample) => sample.at <= measuredAt)
    if (firstNeeded > 0) this.inFlightSamples = this.inFlightSamples.slice(firstNeeded)
  }
}
