import { FailureRate, OutlierDetector } from '@pulleystack/routing.retries'
import { hasWeights, type BackendEntry } from './BackendEntry.js'
import type { ChoiceFailure } from './chooseBackend.js'
import { NO_LOAD, sumTallies, type LoadTally } from './LoadTally.js'
import { PrefixTracker } from './PrefixTracker.js'
import { PrefillShare } from './PrefillShare.js'
import { ReportedStatus } from './ReportedStatus.js'
import { ReservationWindow } from './ReservationWindow.js'
import { ServerPath } from './ServerPath.js'

const DEFAULT_CACHE_TOKENS = 200_000

/** A backend server as seen by this instance. */
export class Backend {
  /** Load from requests of this instance. */
  readonly ownLoad: LoadTally = { ...NO_LOAD }
  /** Load reported by other instances, by instance. The sum is cached because it is read for every request. */
  private readonly peerLoads = new Map<string, LoadTally>()
  private peerLoadSum = NO_LOAD
  readonly path = new ServerPath()
  readonly outlier = new OutlierDetector()
  /** Failure rate over the requests of all instances. */
  readonly failureRate = new FailureRate()
  readonly prefillShare = new PrefillShare()
  readonly reservationWindow = new ReservationWindow()
  readonly cachedPrefixes = new PrefixTracker(DEFAULT_CACHE_TOKENS)
  /** Models that were loaded or are to be unloaded, by name, until the server's entry shows it. */
  private readonly modelOverrides = new Map<string, boolean>()
  /** Adapters that were loaded or unloaded, by model, until the server's entry shows it. */
  private readonly adapterOverrides = new Map<string, Map<string, boolean>>()

  /** How often this instance was told of room at the server. */
  roomCount = 0
  private denial: { reason: ChoiceFailure, until: number } | undefined

  private effectiveEntry: BackendEntry

  constructor (entry: BackendEntry, readonly reported = new ReportedStatus({ id: entry.id, startedAt: entry.startedAt })) {
    this.effectiveEntry = this.mergeReported(entry)
  }

  /** The server's entry, updated with its self-reported status. */
  get entry (): BackendEntry {
    return this.effectiveEntry
  }

  /** Whether the server is reachable and not draining. */
  isAvailable (now: number): boolean {
    return !this.effectiveEntry.draining && this.isReachable(now)
  }

  /** Whether a connection attempt is likely to succeed. */
  isReachable (now: number): boolean {
    return this.path.isUsable(now)
  }

  /** Records that the server, or the owner of its ledger, denies requests until a monotonic time in milliseconds. The newest denial counts. */
  recordDenial (reason: ChoiceFailure, until: number, now: number): void {
    this.denial = until > now ? { reason, until } : undefined
  }

  /** Records that this instance was told of room, which ends denials, also one that was answered before and is still on its way. */
  recordRoom (): void {
    this.denial = undefined
    this.roomCount++
  }

  /** Why requests are denied at present, if they are. */
  readDenial (now: number): ChoiceFailure | undefined {
    return this.denial && now < this.denial.until ? this.denial.reason : undefined
  }

  get id (): string {
    return this.entry.id
  }

  /** Load from the requests of all instances. */
  readLoad (): LoadTally {
    return sumTallies([this.ownLoad, this.peerLoadSum])
  }

  /** Loads that other instances last reported, by instance. */
  listPeerLoads (): ReadonlyMap<string, LoadTally> {
    return this.peerLoads
  }

  /** Replaces the load that another instance reported; undefined for none. */
  applyPeerLoad (instance: string, tally: LoadTally | undefined): void {
    if (tally) this.peerLoads.set(instance, tally)
    else if (!this.peerLoads.delete(instance)) return
    this.peerLoadSum = sumTallies(this.peerLoads.values())
  }

  /** Whether the server has the model and, if given, the adapter. */
  hasWeights (model: string, adapter?: string): boolean {
    if (!(this.modelOverrides.get(model) ?? hasWeights(this.entry, model))) return false
    if (adapter === undefined) return true
    return this.adapterOverrides.get(model)?.get(adapter) ?? hasWeights(this.entry, model, adapter)
  }

  /** Overrides whether the model is available until the server's entry agrees; false once it takes no new requests before being unloaded. */
  recordModel (model: string, present: boolean): void {
    this.modelOverrides.set(model, present)
  }

  /** Discards the override, so that only the server's entry decides. */
  discardModelOverride (model: string): void {
    this.modelOverrides.delete(model)
  }

  /** Overrides whether the adapter is available until the server's entry shows it. */
  recordAdapter (model: string, adapter: string, present: boolean): void {
    const overrides = this.adapterOverrides.get(model) ?? new Map<string, boolean>()
    overrides.set(adapter, present)
    this.adapterOverrides.set(model, overrides)
  }

  /** Applies a newer entry. The adapters of an unloaded model are gone too. */
  update (entry: BackendEntry): void {
    for (const [model, present] of this.modelOverrides) {
      if (hasWeights(entry, model) === present) this.modelOverrides.delete(model)
    }
    for (const model of this.adapterOverrides.keys()) {
      if (!hasWeights(entry, model)) this.adapterOverrides.delete(model)
    }
    this.effectiveEntry = this.mergeReported(entry)
  }

  // An entry may lag behind the server's own announcement that it is draining.
  private mergeReported (entry: BackendEntry): BackendEntry {
    return this.reported.isDraining && !entry.draining ? { ...entry, draining: true } : entry
  }
}
