import { sumTallies, type LoadTally } from '@pulleystack/routing.fleet'
import type { PaceEstimate } from '@pulleystack/routing.pace'
import type { Denial } from './Denial.js'
import { EntryStates, InstanceEntries } from './InstanceEntries.js'
import type { InstanceReport } from './InstanceReport.js'
import { judgeBatch } from './judgeBatch.js'
import { judgeCache } from './judgeCache.js'
import { judgePrefill } from './judgePrefill.js'
import { computeReleaseIntervalMs, type LedgerState, type ServerCapacity } from './LedgerState.js'
import type { Reservation } from './Reservation.js'
import { DenialReasons, type ReservationAnswer } from './ReservationRequest.js'
import { RetrySchedule } from './RetrySchedule.js'
import { TeamShares } from './TeamShares.js'
import { UrgentReserve } from './UrgentReserve.js'

/** Running requests that a ledger keeps, as a multiple of the batch; more can only be reported after outages. */
const MAX_RUNNING_SHARE = 1.5
/** Mean holding time until requests have ended, in milliseconds. */
const DEFAULT_HOLD_MS = 1_000
/** Weight of a new sample in the mean holding time. */
const HOLD_SMOOTHING = 0.1
const MIN_RETRY_MS = 1

export interface ServerLedgerOptions {
  /** Current loads that other instances share, by instance; they count for instances that have not reported to this ledger. */
  readSharedLoads: () => ReadonlyMap<string, LoadTally>
  /** Whether the shares of teams apply. */
  hasTeamShares: boolean
}

/** Asks for a reservation that the report lists as pending. */
export interface LedgerRequest {
  instance: string
  report: InstanceReport
  id: string
}

/** Decides which requests one server takes. Without I/O; all times are monotonic and in milliseconds. */
export class ServerLedger {
  private readonly instances = new Map<string, InstanceEntries>()
  private readonly urgentReserve = new UrgentReserve()
  private readonly teamShares = new TeamShares()
  private readonly retries = new RetrySchedule()
  private holdMs = DEFAULT_HOLD_MS

  /** `capacity` is replaced when the configuration changes. */
  constructor (public capacity: ServerCapacity, private readonly opts: ServerLedgerOptions) {}

  /** Decides on a request. A repeated message gets the same decision; undefined if the instance has given the request up since. */
  reserve ({ instance, report, id }: LedgerRequest, pace: PaceEstimate, now: number): ReservationAnswer | undefined {
    this.apply(instance, report, now)
    const entry = this.instances.get(instance)?.entries.get(id)
    if (!entry) return undefined
    const state = this.buildState(id, pace, now)
    if (entry.state === EntryStates.UNDECIDED) {
      entry.denial = this.judge(state, entry.reservation)
      entry.state = entry.denial ? EntryStates.DENIED : EntryStates.GRANTED
      if (!entry.denial) entry.grantedAt = now
    }
    return buildAnswer(entry.state === EntryStates.DENIED ? entry.denial : undefined, state.load)
  }

  /** Replaces the requests of one instance by those in its report; returns how many of the granted ones ended. */
  apply (instance: string, report: InstanceReport, now: number): number {
    this.expire(now)
    const known = this.instances.get(instance) ?? new InstanceEntries()
    this.instances.set(instance, known)
    const maxRunning = this.capacity.batchSlots * MAX_RUNNING_SHARE
    const ended = known.apply(report, now, () => this.listRunning().length < maxRunning)
    for (const { grantedAt } of ended) if (grantedAt !== undefined) this.holdMs += (now - grantedAt - this.holdMs) * HOLD_SMOOTHING
    return ended.length
  }

  /** Removes all reservations of an instance, after its link failed. */
  removeInstance (instance: string): void {
    this.instances.get(instance)?.clear()
  }

  /** Removes what instances reported until a monotonic time, after which the loads that they share count until they report again. */
  removeReports (until: number): void {
    for (const entries of this.instances.values()) if (entries.isReportedUntil(until)) entries.clear()
  }

  /** Removes reservations whose deadline has passed, and instances that have not reported for long. */
  expire (now: number): void {
    for (const [instance, entries] of this.instances) {
      entries.expire(now)
      if (entries.isOutdated(now)) this.instances.delete(instance)
    }
  }

  /** Load of the server from all instances, as far as this ledger knows. */
  readLoad (now: number): LoadTally {
    return sumTallies([...this.listRunning().map(createTally), ...this.listSharedLoads(now)])
  }

  get isEmpty (): boolean {
    return [...this.instances.values()].every(({ entries }) => entries.size === 0)
  }

  private judge (state: LedgerState, request: Reservation): Denial | undefined {
    this.urgentReserve.recordArrival(request.priority, state.now)
    // Waiting for an empty server would leave it idle.
    const denial = state.load.running === 0 ? undefined : this.judgeBusy(state, request)
    if (denial) this.teamShares.recordRejection(request, state.now)
    else this.teamShares.recordGrant(request)
    return denial && { ...denial, retryAfterMs: this.scheduleRetry(state, request, denial) }
  }

  private scheduleRetry (state: LedgerState, { priority, readTokens }: Reservation, { reason, retryAfterMs }: Denial): number {
    const gapMs = reason === DenialReasons.READING ? readTokens / state.pace.tokensPerMs : computeReleaseIntervalMs(state)
    return this.retries.add(priority, { earliestMs: Math.max(MIN_RETRY_MS, retryAfterMs), gapMs }, state.now)
  }

  private judgeBusy (state: LedgerState, request: Reservation): Denial | undefined {
    const denial = judgeBatch(state) ?? judgeCache(state, request) ?? judgePrefill(state, request)
    return denial ?? this.urgentReserve.judge(state, request) ?? this.judgeShare(state, request)
  }

  private judgeShare (state: LedgerState, request: Reservation): Denial | undefined {
    return this.opts.hasTeamShares ? this.teamShares.judge(state, request) : undefined
  }

  private buildState (exceptId: string, pace: PaceEstimate, now: number): LedgerState {
    const running = this.listRunning().filter(({ id }) => id !== exceptId)
    const load = sumTallies([...running.map(createTally), ...this.listSharedLoads(now)])
    return { capacity: this.capacity, running, load, pace, holdMs: this.holdMs, now }
  }

  private listRunning (): Reservation[] {
    return [...this.instances.values()].flatMap(({ entries }) => [...entries.values()])
      .filter(({ state }) => state === EntryStates.GRANTED)
      .map(({ reservation }) => reservation)
  }

  private listSharedLoads (now: number): LoadTally[] {
    return [...this.opts.readSharedLoads()].filter(([instance]) => !this.instances.get(instance)?.isComplete(now)).map(([, load]) => load)
  }
}

function createTally ({ readTokens, cacheTokens }: Reservation): LoadTally {
  return { running: 1, prefillTokens: readTokens, cacheTokens, suspects: 0 }
}

function buildAnswer (denial: Denial | undefined, load: LoadTally): ReservationAnswer {
  if (!denial) return { granted: true, load }
  return { granted: false, reason: denial.reason, retryAfterMs: denial.retryAfterMs, load }
}
