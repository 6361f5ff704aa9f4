import { RecentMean, RecentRate, estimateWaits, type Candidate, type QueueState, type WaitEstimate } from '@pulleystack/routing.admission'
import type { Clock } from '@pulleystack/core.clock'
import { PREFILL_TOKENS_PER_MS, isOfVersion, nameWeights, type Backend, type BackendFleet, type ServerPaces } from '@pulleystack/routing.fleet'
import { computePermitsPerSecond } from '@pulleystack/routing.permits'
import type { ReachedLimit } from '@pulleystack/timeline.decisions'
import type { RoutedWork } from './RoutedWork.js'
import { computeMeanPace } from './computeMeanPace.js'

/** Remaining time expected of a request that has exceeded the mean holding time, as a share of that mean. */
const MIN_REMAINING_SHARE = 0.1

/** Times of a served request, in milliseconds since it acquired its slot. */
export interface ServedTimes {
  /** Until the slot was released. */
  heldMs: number
  /** Until the first event of a stream, or until all of a plain response had arrived. */
  firstOutputMs: number
}

/** Rate limits that delay a request, and the milliseconds until the first of them permits another one. */
export interface ReachedLimits {
  limits: readonly ReachedLimit[]
  expectedMs: number
}

export interface ServedRequest extends ServedTimes {
  /** Prompt tokens that were not in the server's prefix cache. */
  readTokens: number
}

export interface SlotForecastOptions {
  clock: Clock
  fleet: BackendFleet
  /** Pace estimates of the servers of a service; undefined if all are taken to have the same pace. */
  findPaces?: (service: RoutedWork['service']) => ServerPaces | undefined
}

/** Estimates how long requests wait for slots, from the holding times and arrival rates seen by this instance. */
export class SlotForecast {
  private readonly heldMeans = new RecentMean()
  private readonly firstOutputMeans = new RecentMean()
  /** In milliseconds. */
  private readonly prefillMeans = new RecentMean()
  private readonly arrivalRates: RecentRate
  /** Slots held by this instance with the monotonic times of their acquisition, by server. */
  private readonly ownSlots = new Map<string, Set<{ at: number }>>()

  constructor (private readonly opts: SlotForecastOptions) {
    this.arrivalRates = new RecentRate(opts.clock)
  }

  recordArrival (work: RoutedWork): void {
    this.arrivalRates.add(buildQueueKey(work))
  }

  /** Records a slot held by this instance; the returned function removes it. */
  recordAcquired (backend: string): () => void {
    const slots = this.ownSlots.get(backend) ?? new Set()
    this.ownSlots.set(backend, slots)
    const slot = { at: this.opts.clock.readTime() }
    slots.add(slot)
    return () => {
      slots.delete(slot)
      if (slots.size === 0) this.ownSlots.delete(backend)
    }
  }

  recordServed (work: RoutedWork, { heldMs, firstOutputMs, readTokens }: ServedRequest): void {
    const prefillMs = readTokens / this.readTokensPerMs(work)
    for (const key of [buildTimesKey(work), work.service.name]) {
      this.heldMeans.add(key, heldMs)
      this.firstOutputMeans.add(key, firstOutputMs)
      this.prefillMeans.add(key, prefillMs)
    }
  }

  /** Computes by when a request needs its slot. */
  createCandidate (work: RoutedWork, isPatienceLimited: boolean): Candidate {
    const { route, generation } = work
    const prefillMs = (generation?.promptTokens ?? 0) / this.readTokensPerMs(work)
    const firstOutputMs = this.readMean(this.firstOutputMeans, work) ?? prefillMs
    const heldMs = this.readHighMean(this.heldMeans, work) ?? prefillMs
    const patienceMs = isPatienceLimited ? route.patienceMs ?? Infinity : Infinity
    // Once a stream has begun, the patience of the client counts from now.
    const patienceStart = work.stream.events > 0 ? this.opts.clock.readTime() : work.arrivedAt
    return {
      priority: work.priority,
      dueAt: work.firstTriedAt + route.targetLatencyMs - firstOutputMs,
      expiresAt: Math.min(work.deadline - heldMs, patienceStart + patienceMs - firstOutputMs),
    }
  }

  /**
   * Estimates when a slot becomes free; undefined without holding times of earlier requests. `ahead` counts the requests in front of this one that
   * wait here for the same slots.
   */
  estimateSlotWait (work: RoutedWork, ahead: number): WaitEstimate | undefined {
    return this.estimateSlotWaitAt(work, ahead, this.listAvailable(work))
  }

  /** Describes the rate limits of the available servers, how long ago they were announced, and when the first permit is expected. */
  describeLimits (work: RoutedWork): ReachedLimits {
    const now = this.opts.clock.readTime()
    const limited = this.listLimited(work)
    const limits = limited.map(({ id, reported }) => {
      const { perSecond = Infinity, reportedBefore, receivedBy: heardBy } = reported.limit.report
      return { backend: id, perSecond, saidMsAgo: Math.round(now - reportedBefore), ...heardBy !== undefined && { heardBy } }
    })
    return { limits, expectedMs: Math.round(computeNextPermitMs(limited, now)) }
  }

  private listLimited (work: RoutedWork): Backend[] {
    return this.listAvailable(work).filter(({ reported }) => reported.limit.perSecond !== undefined)
  }

  /** Estimates the wait for a permit of a rate-limited server or a slot at another one, whichever comes first. */
  estimatePermitWait (work: RoutedWork, ahead: number): WaitEstimate | undefined {
    const now = this.opts.clock.readTime()
    const limited = this.listLimited(work)
    const others = this.listAvailable(work).filter((backend) => !limited.includes(backend))
    const slotWait = others.length === 0 ? undefined : this.estimateSlotWaitAt(work, ahead, others)
    if (limited.length === 0) return slotWait
    const perSecond = limited.reduce((sum, { reported }) => sum + computePermitsPerSecond(reported.limit.perSecond ?? Infinity), 0)
    const heldMs = 1_000 / perSecond
    const nextMs = computeNextPermitMs(limited, now)
    // Permits arrive one at a time, like slots of a server that runs one request after the other.
    const permitWait = this.estimateWait(work, ahead, { heldMs, running: 1, ownRemainingMs: [nextMs - heldMs], hasSteadyRate: true })
    if (!slotWait) return permitWait
    return { withinTargetMs: Math.min(permitWait.withinTargetMs, slotWait.withinTargetMs), overdueMs: Math.min(permitWait.overdueMs, slotWait.overdueMs) }
  }

  /** Whether a request for permits of an available server is unanswered. */
  isAwaitingPermits (work: RoutedWork): boolean {
    return this.listAvailable(work).some(({ reported }) => reported.permits.hasPendingRequest)
  }

  private estimateSlotWaitAt (work: RoutedWork, ahead: number, servers: readonly Backend[]): WaitEstimate | undefined {
    const heldMs = this.readMean(this.heldMeans, work)
    if (heldMs === undefined) return undefined
    const running = servers.reduce((sum, backend) => sum + backend.readLoad().running, 0)
    return this.estimateWait(work, ahead, { heldMs: Math.max(1, heldMs), running, ownRemainingMs: this.listRemainingMs(servers, heldMs) })
  }

  /** Estimates when a server will be below its prefill limit; each server processes one prompt at a time. */
  estimatePrefillWait (work: RoutedWork, ahead: number): WaitEstimate | undefined {
    const prefillMs = this.readMean(this.prefillMeans, work)
    if (prefillMs === undefined) return undefined
    return this.estimateWait(work, ahead, { heldMs: Math.max(1, prefillMs), running: this.listAvailable(work).length, ownRemainingMs: [] })
  }

  private estimateWait (work: RoutedWork, ahead: number, slotUse: Pick<QueueState, 'heldMs' | 'running' | 'ownRemainingMs' | 'hasSteadyRate'>): WaitEstimate {
    const { fleet } = this.opts
    const key = buildQueueKey(work)
    return estimateWaits({
      ...slotUse,
      arrivalsPerSecond: this.arrivalRates.read(key),
      ahead,
      waiting: fleet.waiting.countOwn(key),
      waitingAtPeers: fleet.waiting.countAtPeers(key),
    })
  }

  private listRemainingMs (servers: readonly Backend[], heldMs: number): number[] {
    const now = this.opts.clock.readTime()
    const slots = servers.flatMap((backend) => [...this.ownSlots.get(backend.id) ?? []])
    return slots.map(({ at }) => Math.max(heldMs * MIN_REMAINING_SHARE, at + heldMs - now)).sort((a, b) => a - b)
  }

  /** Milliseconds until the first eligible server's pause ends; undefined when none is paused. */
  readBackoffMs (work: RoutedWork): number | undefined {
    const now = this.opts.clock.readTime()
    const waits = this.listReachable(work, now).map((backend) => backend.reported.backoff.readRemainingMs(now)).filter((ms) => ms > 0)
    return waits.length === 0 ? undefined : Math.min(...waits)
  }

  private listAvailable (work: RoutedWork): Backend[] {
    const now = this.opts.clock.readTime()
    return this.listReachable(work, now).filter((backend) => !backend.reported.backoff.isActive(now))
  }

  /** Lists reachable servers of the required version that are not draining and hold the weights, paused ones included. */
  private listReachable ({ service, generation, origin }: RoutedWork, now: number): Backend[] {
    const reachable = this.opts.fleet.list(service.name).filter((backend) => backend.isAvailable(now) && isOfVersion(backend.entry, origin?.version))
    return generation ? reachable.filter((backend) => backend.hasWeights(generation.model, generation.adapter)) : reachable
  }

  private readTokensPerMs (work: RoutedWork): number {
    const paces = this.opts.findPaces?.(work.service)
    return (paces && computeMeanPace(paces, this.listAvailable(work), this.opts.clock.readTime())) ?? PREFILL_TOKENS_PER_MS
  }

  private readHighMean (means: RecentMean, work: RoutedWork): number | undefined {
    return means.readUpperBound(buildTimesKey(work)) ?? means.readUpperBound(work.service.name)
  }

  /** Falls back to the mean of the whole service for weights without samples. */
  private readMean (means: RecentMean, work: RoutedWork): number | undefined {
    return means.read(buildTimesKey(work)) ?? means.read(work.service.name)
  }
}

/** Milliseconds until the first of the servers is expected to have a permit. */
function computeNextPermitMs (limited: readonly Backend[], now: number): number {
  return Math.min(...limited.map(({ reported }) => Math.max(0, reported.permits.nextExpectedAt - now)))
}

/** Identifies the requests that take equally long, by service and weights. */
function buildTimesKey ({ service, generation }: RoutedWork): string {
  return generation ? `${service.name}|${nameWeights(generation.model, generation.adapter)}` : service.name
}

/** Identifies the slots that a request can use, by service, weights and the software version that it needs. */
export function buildQueueKey (work: RoutedWork): string {
  return work.origin === undefined ? buildTimesKey(work) : `${buildTimesKey(work)}@${work.origin.version}`
}
