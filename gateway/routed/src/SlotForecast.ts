import { RecentMean, RecentRate, estimateWaits, type Candidate, type QueueFacts, type WaitEstimate } from '@pulleystack/routing.admission'
import type { Clock } from '@pulleystack/core.clock'
import { PREFILL_TOKENS_PER_MS, nameWeights, type Backend, type BackendFleet } from '@pulleystack/routing.fleet'
import { computePermitsPerSecond } from '@pulleystack/routing.permits'
import type { ReachedLimit } from '@pulleystack/timeline.decisions'
import type { RoutedWork } from './RoutedWork.js'

/** A request that has held its place for longer than others do ends at any moment: within this share of the time. */
const OVERDUE_SHARE = 0.1

/** What one served request took, in milliseconds since it got its place. */
export interface ServedTimes {
  /** Until the place came free. */
  heldMs: number
  /** Until the client had something of the answer; for plain answers as long as the place was held. */
  firstMs: number
}

/** Limits that hold a request back, and the milliseconds until the first of them leaves a place. */
export interface ReachedLimits {
  limits: readonly ReachedLimit[]
  expectedMs: number
}

/** A request that was served. */
export interface Served extends ServedTimes {
  /** Tokens of its prompt that the server had not read before. */
  readTokens: number
}

/** How long places are held and how often they come free, as this instance sees it, and what follows for those that wait. */
export class PlaceForecast {
  private readonly held = new RecentMean()
  private readonly first = new RecentMean()
  /** How long servers read prompts, in milliseconds. */
  private readonly reading = new RecentMean()
  private readonly arrivals: RecentRate
  /** When the requests that this instance runs got their places, by server. */
  private readonly takenAt = new Map<string, Set<{ at: number }>>()

  constructor (private readonly opts: { clock: Clock, fleet: BackendFleet }) {
    this.arrivals = new RecentRate(opts.clock)
  }

  noteArrived (work: RoutedWork): void {
    this.arrivals.add(namePlaces(work))
  }

  /** A request of this instance has a place at a server, until the function that it gives is called. */
  noteTaken (backend: string): () => void {
    const taken = this.takenAt.get(backend) ?? new Set()
    this.takenAt.set(backend, taken)
    const entry = { at: this.opts.clock.readTime() }
    taken.add(entry)
    return () => {
      taken.delete(entry)
      if (taken.size === 0) this.takenAt.delete(backend)
    }
  }

  noteServed (work: RoutedWork, { heldMs, firstMs, readTokens }: Served): void {
    for (const name of [namePlaces(work), work.service.name]) {
      this.held.add(name, heldMs)
      this.first.add(name, firstMs)
      this.reading.add(name, readTokens / PREFILL_TOKENS_PER_MS)
    }
  }

  /** By when a request needs its place. */
  describe (work: RoutedWork, isPatienceBound: boolean): Candidate {
    const { route, generation } = work
    const readMs = (generation?.promptTokens ?? 0) / PREFILL_TOKENS_PER_MS
    const firstMs = this.read(this.first, work) ?? readMs
    const heldMs = this.readHigh(this.held, work) ?? readMs
    const patienceMs = isPatienceBound ? route.patienceMs ?? Infinity : Infinity
    // A client that has a part of its answer waits as long for each further one.
    const waitsSince = work.stream.events > 0 ? this.opts.clock.readTime() : work.arrivedAt
    return {
      priority: work.priority,
      dueAt: work.firstTriedAt + route.targetLatencyMs - firstMs,
      latestAt: Math.min(work.deadline - heldMs, waitsSince + patienceMs - firstMs),
    }
  }

  /** When a place will likely come free; undefined before any was seen to. `ahead` requests for the same places wait here before this one. */
  estimatePlace (work: RoutedWork, ahead: number): WaitEstimate | undefined {
    return this.estimateAt(work, ahead, this.listHolding(work))
  }

  /** Limits of the servers that could run the request, when they were said, and the milliseconds until the first of them leaves a place. */
  describeLimits (work: RoutedWork): ReachedLimits {
    const now = this.opts.clock.readTime()
    const limited = this.listLimited(work)
    const limits = limited.map(({ id, stated }) => {
      const { perSecond = Infinity, saidBefore, heardBy } = stated.limit.statement
      return { backend: id, perSecond, saidMsAgo: Math.round(now - saidBefore), ...heardBy !== undefined && { heardBy } }
    })
    return { limits, expectedMs: Math.round(readNextMs(limited, now)) }
  }

  private listLimited (work: RoutedWork): Backend[] {
    return this.listHolding(work).filter(({ stated }) => stated.limit.perSecond !== undefined)
  }

  /** When the limits that servers name will likely leave a place; at another server one may come free before. */
  estimatePermit (work: RoutedWork, ahead: number): WaitEstimate | undefined {
    const now = this.opts.clock.readTime()
    const limited = this.listLimited(work)
    const others = this.listHolding(work).filter((backend) => !limited.includes(backend))
    const place = others.length === 0 ? undefined : this.estimateAt(work, ahead, others)
    if (limited.length === 0) return place
    const perSecond = limited.reduce((sum, { stated }) => sum + computePermitsPerSecond(stated.limit.perSecond ?? Infinity), 0)
    const heldMs = 1_000 / perSecond
    const nextMs = readNextMs(limited, now)
    // The rights to send come one by one, as if one request were run after the other.
    const permit = this.estimate(work, ahead, { heldMs, running: 1, ownLeftMs: [nextMs - heldMs], isSteady: true })
    if (!place) return permit
    return { inTimeMs: Math.min(permit.inTimeMs, place.inTimeMs), lateMs: Math.min(permit.lateMs, place.lateMs) }
  }

  /** Whether rights to send to a server that could run the request have been asked for, and no answer is there yet. */
  isAskingForPermits (work: RoutedWork): boolean {
    return this.listHolding(work).some(({ stated }) => stated.permits.isAsking)
  }

  private estimateAt (work: RoutedWork, ahead: number, holding: readonly Backend[]): WaitEstimate | undefined {
    const heldMs = this.read(this.held, work)
    if (heldMs === undefined) return undefined
    const running = holding.reduce((sum, backend) => sum + backend.readLoad().running, 0)
    return this.estimate(work, ahead, { heldMs: Math.max(1, heldMs), running, ownLeftMs: this.listLeftMs(holding, heldMs) })
  }

  /** When a server that holds the weights will likely read no more prompts than its streams bear; each reads one after the other. */
  estimateReading (work: RoutedWork, ahead: number): WaitEstimate | undefined {
    const readMs = this.read(this.reading, work)
    if (readMs === undefined) return undefined
    return this.estimate(work, ahead, { heldMs: Math.max(1, readMs), running: this.listHolding(work).length, ownLeftMs: [] })
  }

  private estimate (work: RoutedWork, ahead: number, use: Pick<QueueFacts, 'heldMs' | 'running' | 'ownLeftMs' | 'isSteady'>): WaitEstimate {
    const { fleet } = this.opts
    const name = namePlaces(work)
    return estimateWaits({
      ...use,
      arrivalsPerSecond: this.arrivals.read(name),
      ahead,
      waiting: fleet.waiting.countOwn(name),
      waitingElsewhere: fleet.waiting.countElsewhere(name),
    })
  }

  private listLeftMs (holding: readonly Backend[], heldMs: number): number[] {
    const now = this.opts.clock.readTime()
    const taken = holding.flatMap((backend) => [...this.takenAt.get(backend.id) ?? []])
    return taken.map(({ at }) => Math.max(heldMs * OVERDUE_SHARE, at + heldMs - now)).sort((a, b) => a - b)
  }

  /** Milliseconds until the first of the servers that could run the request and want rest takes requests again; undefined when none wants rest. */
  readBackoffMs (work: RoutedWork): number | undefined {
    const now = this.opts.clock.readTime()
    const waits = this.listStaying(work, now).map((backend) => backend.stated.backoff.readLeftMs(now)).filter((ms) => ms > 0)
    return waits.length === 0 ? undefined : Math.min(...waits)
  }

  private listHolding (work: RoutedWork): Backend[] {
    const now = this.opts.clock.readTime()
    return this.listStaying(work, now).filter((backend) => !backend.stated.backoff.isActive(now))
  }

  /** Servers that have what the request needs, stay and can be reached. */
  private listStaying ({ service, generation }: RoutedWork, now: number): Backend[] {
    const staying = this.opts.fleet.list(service.name).filter((backend) => backend.isStaying(now))
    return generation ? staying.filter((backend) => backend.hasWeights(generation.model, generation.adapter)) : staying
  }

  private readHigh (means: RecentMean, work: RoutedWork): number | undefined {
    return means.readHigh(namePlaces(work)) ?? means.readHigh(work.service.name)
  }

  /** For what is rare, what requests to its service take. */
  private read (means: RecentMean, work: RoutedWork): number | undefined {
    return means.read(namePlaces(work)) ?? means.read(work.service.name)
  }
}

/** Milliseconds until the first of some servers' limits leaves a place. */
function readNextMs (limited: readonly Backend[], now: number): number {
  return Math.min(...limited.map(({ stated }) => Math.max(0, stated.permits.expectedAt - now)))
}

/** What a request waits for, by service and weights. */
export function namePlaces ({ service, generation }: RoutedWork): string {
  return generation ? `${service.name}|${nameWeights(generation.model, generation.adapter)}` : service.name
}
