import { Kinds, ServiceClasses } from '@pulleystack/config.objects'
import type { ConfigIndex } from '@pulleystack/config.replica'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { MembershipView } from '@pulleystack/membership.view'
import type { Picker, Pickable } from '@pulleystack/routing.picker'
import type { WorkQueue } from '@pulleystack/routing.queue'
import { listUsable } from '@pulleystack/routing.retries'
import type { Runner } from '@pulleystack/routing.runners'
import { EventKinds, type EventRing } from '@pulleystack/timeline.events'
import type { RequestWork } from './DispatchOptions.js'
import type { EligibleRunners } from './EligibleRunners.js'

/** Extra milliseconds to a server by where it stands. */
const HopMs = { SAME_HALL: 0, SAME_REGION: 1, ELSEWHERE: 25 } as const
// A tenth of the places stays free for lookups, where there are enough to divide.
const LOOKUP_RESERVE = 0.1
const LEAST_TO_DIVIDE = 4

/** The right to have one request at one server; must be ended. */
export interface Place {
  runner: Runner
  /** The item that serves; undefined for plain services. */
  item: string | undefined
  startedAt: number
  /** Blocks of the prompt that were not known to be cached there. */
  missingBlocks: number
  /** Gives the place back and teaches the runner's limiter. */
  end: (outcome: PlaceOutcome) => void
}

export interface PlaceOutcome {
  /** Tokens of a whole answer. */
  tokens?: number
  /** Milliseconds from sending to the first byte; undefined when none came. */
  firstByteMs?: number
  failed: boolean
  overloaded?: boolean
}

export interface PlaceRequest extends RequestWork {
  /** Items of which one must be ready, best first; undefined for plain services. */
  items?: readonly string[]
  adapter?: string
  blocks: readonly number[]
  /** Tokens still to generate; undefined for plain services. */
  tokens?: number
  /** Servers that failed this request already. */
  excluded: ReadonlySet<string>
}

export interface PlacesOptions {
  clock: Clock
  random: RandomSource
  view: MembershipView
  index: ConfigIndex
  eligible: EligibleRunners
  queue: WorkQueue<Place>
  picker: Picker
  ring: EventRing
}

interface Candidate extends Pickable {
  runner: Runner
}

/** Hands out places at backend servers, through the queue where none is free. */
export class Places {
  constructor (private readonly opts: PlacesOptions) {}

  /** Waits for a place; fails as the queue does, or at once with NO_RUNNER when no server could ever serve. */
  async acquire (request: PlaceRequest): Promise<Place> {
    if (this.opts.eligible.list(request.partner, request.service).length === 0) {
      throw new PulleystackError('NO_RUNNER', `No backend server may serve "${request.service}"`, {
        hint: 'Check the service\'s selectors against the servers\' labels (pulleystack explain).',
        retryAfterSeconds: 5,
      })
    }
    return this.opts.queue.acquire({
      partner: request.partner,
      serviceClass: request.serviceClass,
      lane: `${request.service}|${request.items?.[0] ?? ''}`,
      deadline: request.deadline,
      expectedMs: this.estimateTime(request),
      signal: request.signal,
      tryGrant: () => this.tryGrant(request),
    })
  }

  /** Milliseconds that the fastest ready server would likely take; 0 when nothing is known. */
  private estimateTime (request: PlaceRequest): number {
    const { tokens } = request
    if (tokens === undefined) return 0
    const times = this.listReady(request).map((runner) => runner.msPerToken * tokens)
    return times.length === 0 ? 0 : Math.min(...times)
  }

  /** A place without waiting, for hedges; undefined when there is none. */
  tryGrant (request: PlaceRequest): Place | undefined {
    const ready = this.listReady(request)
    const notFailed = ready.filter((runner) => !request.excluded.has(runner.id))
    const usable = listUsable(notFailed.length > 0 ? notFailed : ready, this.opts.clock.readTime())
    const free = usable.filter((runner) => this.hasRoom(runner, request))
    if (free.length === 0) return undefined
    const candidate = this.opts.picker.pick(free.map((runner) => this.buildCandidate(runner)), request)
    return this.take(candidate.runner, request)
  }

  /** Servers where the request could run now or once they have room. */
  listReady (request: Pick<PlaceRequest, 'partner' | 'service' | 'items' | 'adapter'>): readonly Runner[] {
    const allowed = this.opts.eligible.list(request.partner, request.service)
    if (!request.items) return allowed
    const { adapter } = request
    for (const item of request.items) {
      const ready = allowed.filter((runner) => runner.hasReady(item) && (!adapter || runner.hasReady(adapter)))
      if (ready.length > 0) return ready
    }
    return []
  }

  /** True when a server has fallen silent and another one that may take the request has not. */
  isLost (runner: Runner, request: Pick<PlaceRequest, 'partner' | 'service' | 'items' | 'adapter'>): boolean {
    const now = this.opts.clock.readTime()
    return runner.isSilent(now) && this.listReady(request).some((other) => other !== runner && !other.isSilent(now))
  }

  /** True when this instance may send one more request of this partner and class there. */
  hasRoom (runner: Runner, request: Pick<RequestWork, 'partner' | 'serviceClass'>): boolean {
    const { limit } = runner.limiter
    const now = this.opts.clock.readTime()
    if (runner.ownInFlight >= limit || now < runner.refusedUntil || runner.isFull(now)) return false
    const reserve = limit >= LEAST_TO_DIVIDE ? Math.max(1, Math.floor(limit * LOOKUP_RESERVE)) : 0
    if (request.serviceClass === ServiceClasses.WORK && runner.workInFlight >= limit - reserve) return false
    return runner.countOf(request.partner) < this.computePartnerLimit(runner, request.partner)
  }

  /** What the others' guaranteed shares leave of a server's places. */
  private computePartnerLimit (runner: Runner, partner: string): number {
    const { limit } = runner.limiter
    if (limit < LEAST_TO_DIVIDE) return limit
    const present = runner.listPartners()
    let guaranteed = 0
    for (const quota of this.opts.index.listObjects(Kinds.QUOTA)) {
      if (quota.partner !== partner && present.has(quota.partner)) guaranteed += quota.spec.guaranteedShare
    }
    return Math.max(1, Math.ceil(limit * (1 - guaranteed)))
  }

  private buildCandidate (runner: Runner): Candidate {
    return {
      runner,
      id: runner.id,
      slots: runner.slots,
      serviceMs: runner.serviceMs,
      prefillMsPerBlock: runner.prefillMsPerBlock,
      hopMs: this.computeHop(runner),
      estimateLoad: () => runner.estimateLoad(),
      countMatching: (blocks) => runner.cache.countMatching(blocks),
    }
  }

  private computeHop (runner: Runner): number {
    const { self } = this.opts.view
    if (runner.server.dataHall === self.dataHall) return HopMs.SAME_HALL
    return runner.server.region === self.region ? HopMs.SAME_REGION : HopMs.ELSEWHERE
  }

  private take (runner: Runner, request: PlaceRequest): Place {
    const startedAt = this.opts.clock.readTime()
    const isLookup = request.serviceClass === ServiceClasses.LOOKUP
    const missingBlocks = request.blocks.length - runner.cache.countMatching(request.blocks)
    const item = request.items?.find((it) => runner.hasReady(it))
    runner.noteStart(request.partner, isLookup, startedAt, item)
    runner.cache.expect(request.blocks)
    const inFlight = runner.ownInFlight
    let ended = false
    const end = (outcome: PlaceOutcome): void => {
      if (ended) return
      ended = true
      runner.noteEnd(request.partner, isLookup, this.opts.clock.readTime(), item)
      this.learn(runner, { ...outcome, startedAt, missingBlocks, inFlight })
      this.opts.queue.pump()
    }
    return { runner, item, startedAt, missingBlocks, end }
  }

  private learn (runner: Runner, outcome: PlaceOutcome & { startedAt: number, missingBlocks: number, inFlight: number }): void {
    const now = this.opts.clock.readTime()
    const { firstByteMs } = outcome
    if (outcome.failed) {
      if (runner.outlier.noteFailure(now, this.opts.random.readFraction())) this.opts.ring.record(EventKinds.RUNNER_EJECTED, { server: runner.id })
    } else {
      runner.outlier.noteSuccess()
      runner.noteServiceTime(now - outcome.startedAt, outcome.tokens)
    }
    if (firstByteMs === undefined && !outcome.overloaded) return
    if (firstByteMs !== undefined) runner.notePrefill(outcome.missingBlocks, firstByteMs)
    const explained = outcome.missingBlocks * runner.prefillMsPerBlock
    runner.limiter.addSample({
      firstByteMs: Math.max(1, (firstByteMs ?? 0) - explained),
      inFlight: outcome.inFlight,
      waitingShare: runner.isOutdated(now) ? 0 : runner.waiting / runner.slots,
      serviceMs: runner.serviceMs,
      overloaded: outcome.overloaded ?? false,
      now,
    })
  }
}
