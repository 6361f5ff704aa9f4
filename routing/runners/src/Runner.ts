import { InstanceRoles, type ListedInstance, type ResidentItem } from '@pulleystack/backend.interfaces'
import { AdaptiveLimiter, type ConcurrencyLimiter } from '@pulleystack/routing.limiter'
import { OutlierDetector } from '@pulleystack/routing.retries'
import { PrefixIndex } from './PrefixIndex.js'
import type { RunnerUpdate } from './RunnerUpdate.js'

const DEFAULT_SLOTS = 8
const PLAIN_SLOTS = 64
const EWMA_SHARE = 0.1
// Several reports must be missing before silence means anything.
const OUTDATED_TIMES = 3
const SILENT_REPORTS = 3
const SILENT_MIN_MS = 1_500
const INITIAL_SERVICE_MS = 200
const INITIAL_PREFILL_MS = 4

interface OwnSample {
  at: number
  inFlight: number
}

interface ReportState {
  /** Monotone time of the figures. */
  at: number
  everyMs: number
  running: number
  waiting: number
  slots: number
  freeBytes: number
}

/** One backend server as this instance sees it. */
export class Runner {
  readonly cache = new PrefixIndex()
  readonly limiter: ConcurrencyLimiter
  readonly outlier: OutlierDetector
  /** Smoothed milliseconds that a request holds a place. */
  serviceMs = INITIAL_SERVICE_MS
  /** Smoothed milliseconds of a request for each of its tokens, its wait at the server included. */
  msPerToken = 0
  /** Smoothed milliseconds to prefill a block that was not cached. */
  prefillMsPerBlock = INITIAL_PREFILL_MS
  /** Monotone time until which the server asked for no work. */
  refusedUntil = 0
  private readonly items = new Map<string, ResidentItem>()
  private readonly inFlightByPartner = new Map<string, number>()
  private readonly inFlightByItem = new Map<string, number>()
  /** Items that get no new work because they will be removed; until a monotone time. */
  private readonly draining = new Map<string, number>()
  private report: ReportState | undefined
  private life = ''
  private seq = 0
  private samples: OwnSample[] = [{ at: -Infinity, inFlight: 0 }]
  private inFlight = 0
  private lookups = 0

  constructor (public server: ListedInstance) {
    this.limiter = new AdaptiveLimiter({ initialLimit: server.role === InstanceRoles.PLAIN ? PLAIN_SLOTS : DEFAULT_SLOTS })
    this.outlier = new OutlierDetector()
  }

  get id (): string {
    return this.server.id
  }

  get ownInFlight (): number {
    return this.inFlight
  }

  get slots (): number {
    return this.report?.slots ?? (this.server.role === InstanceRoles.PLAIN ? PLAIN_SLOTS : DEFAULT_SLOTS)
  }

  get freeBytes (): number {
    return this.report?.freeBytes ?? 0
  }

  /** Monotone time of the newest figures, undefined before the first. */
  get reportedAt (): number | undefined {
    return this.report?.at
  }

  get waiting (): number {
    return this.report?.waiting ?? 0
  }

  listItems (): ResidentItem[] {
    return [...this.items.values()]
  }

  hasReady (item: string): boolean {
    return this.items.get(item)?.state === 'ready' && !this.draining.has(item)
  }

  /** Sends an item no new work until a monotone time; gives the own requests still there. */
  drain (item: string, until: number): number {
    this.draining.set(item, until)
    return this.inFlightByItem.get(item) ?? 0
  }

  /** Lets items have work again whose removal did not come. */
  endDrains (now: number): void {
    for (const [item, until] of this.draining) {
      if (until <= now) this.draining.delete(item)
    }
  }

  /** Partners with something resident or offered here. */
  listPartners (): Set<string> {
    const names = [...this.items.keys(), ...this.server.services ?? []]
    return new Set(names.map((name) => name.slice(0, name.indexOf('/'))))
  }

  /** Own requests in flight that are not lookups. */
  get workInFlight (): number {
    return this.inFlight - this.lookups
  }

  countOf (partner: string): number {
    return this.inFlightByPartner.get(partner) ?? 0
  }

  /** Takes a report; false when it is older than the one held. */
  applyUpdate (update: RunnerUpdate, now: number): boolean {
    if (update.life !== this.life) this.forgetLife(update.life)
    else if (update.seq <= this.seq) return false
    this.seq = update.seq
    const { everyMs, running, waiting, slots, freeBytes } = update
    this.report = { at: now - update.ageMs, everyMs, running, waiting, slots, freeBytes }
    if (update.items) this.replaceItems(update.items)
    this.cache.applyEvents(update.cacheEvents, update.cacheSeq)
    this.dropOldSamples()
    return true
  }

  /** Work on the server as far as known: the lagging report, corrected by what this instance began and ended since. */
  estimateLoad (): number {
    if (!this.report) return this.inFlight
    const at = this.report.at
    const then = this.samples.findLast((sample) => sample.at <= at)?.inFlight ?? 0
    return Math.max(this.inFlight, this.report.running + this.report.waiting + this.inFlight - then)
  }

  /** True when reports came and have stopped: the server may be frozen, or nobody can reach it. */
  isSilent (now: number): boolean {
    return this.report !== undefined && now - this.report.at > Math.max(SILENT_MIN_MS, SILENT_REPORTS * this.report.everyMs)
  }

  /** True when the report is so old that what it counted has ended; then only answers' times tell how busy the server is. */
  isOutdated (now: number): boolean {
    return this.report !== undefined && now - this.report.at > OUTDATED_TIMES * this.serviceMs
  }

  /**
   * True when the engine's places are taken, as far as the report tells. It is allowed as many more as will have
   * ended since the report, so that places don't stay empty until the next one; beyond that, work waits here, where
   * class, deadline and share decide who goes first, and not in the engine's own queue.
   */
  isFull (now: number): boolean {
    if (!this.report || this.isOutdated(now)) return false
    const ended = Math.ceil(this.slots * (now - this.report.at) / this.serviceMs)
    return this.estimateLoad() >= this.slots + Math.min(this.slots, Math.max(1, ended))
  }

  noteStart (partner: string, isLookup: boolean, now: number, item?: string): void {
    if (item !== undefined) this.inFlightByItem.set(item, (this.inFlightByItem.get(item) ?? 0) + 1)
    this.inFlight++
    if (isLookup) this.lookups++
    this.inFlightByPartner.set(partner, this.countOf(partner) + 1)
    this.samples.push({ at: now, inFlight: this.inFlight })
    if (!this.report) this.dropOldSamples()
  }

  noteEnd (partner: string, isLookup: boolean, now: number, item?: string): void {
    if (item !== undefined) this.inFlightByItem.set(item, (this.inFlightByItem.get(item) ?? 1) - 1)
    this.inFlight--
    if (isLookup) this.lookups--
    this.inFlightByPartner.set(partner, this.countOf(partner) - 1)
    this.samples.push({ at: now, inFlight: this.inFlight })
  }

  noteServiceTime (ms: number, tokens?: number): void {
    this.serviceMs += (ms - this.serviceMs) * EWMA_SHARE
    if (tokens) this.msPerToken += (ms / tokens - this.msPerToken) * EWMA_SHARE
  }

  /** Learns the cost of prefill from a first token that did not wait behind others. */
  notePrefill (missingBlocks: number, firstTokenMs: number): void {
    if (missingBlocks < 1 || this.waiting > 0) return
    this.prefillMsPerBlock += (firstTokenMs / missingBlocks - this.prefillMsPerBlock) * EWMA_SHARE
  }

  private forgetLife (life: string): void {
    this.life = life
    this.items.clear()
    this.cache.clear()
  }

  private replaceItems (items: readonly ResidentItem[]): void {
    this.items.clear()
    for (const item of items) this.items.set(item.item, item)
    for (const item of this.draining.keys()) {
      if (!this.items.has(item)) this.draining.delete(item)
    }
  }

  private dropOldSamples (): void {
    const at = this.report?.at ?? Infinity
    const first = this.samples.findLastIndex((sample) => sample.at <= at)
    if (first > 0) this.samples = this.samples.slice(first)
  }
}
