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
import type { DispatchRequest } from './DispatchOptions.js'
import type { EligibleRunners } from './EligibleRunners.js'

/** Additional milliseconds of network latency by a server's location. */
const HopMs = { SAME_DATA_HALL: 0, SAME_REGION: 1, OTHER_REGION: 25 } as const
// Part of a server's slots that work requests leave free for lookups.
const LOOKUP_RESERVE_FRACTION = 0.1
// Smaller limits are not divided between classes or partners.
const MIN_DIVISIBLE_SLOTS = 4

/** Permission for one request at one server; `end` must be called. */
export interface Slot {
  runner: Runner
  /** The item that serves the request; undefined for plain services. */
  item: string | undefined
  startedAt: number
  /** Number of prompt blocks that were not known to be cached on the server. */
  missingBlocks: number
  /** Releases the slot and reports the outcome to the runner's limiter and statistics. */
  end: (outcome: SlotOutcome) => void
}

export interface SlotOutcome {
  /** Number of tokens of a complete response. */
  tokens?: number
  /** Milliseconds from sending to the first byte; undefined when none was received. */
  firstByteMs?: number
  failed: boolean
  overloaded?: boolean
}

export interface SlotRequest extends DispatchRequest {
  /** Items of which one must be ready, in order of preference; undefined for plain services. */
  items?: readonly string[]
  adapter?: string
  blocks: readonly number[]
  /** Number of tokens still to generate; undefined for plain services. */
  tokens?: number
  /** Servers on which an attempt of this request has failed. */
  excluded: ReadonlySet<string>
}

export interface SlotAllocatorOptions {
  clock: Clock
  random: RandomSource
  view: MembershipView
  index: ConfigIndex
  eligible: EligibleRunners
  queue: WorkQueue<Slot>
  picker: Picker
  ring: EventRing
}

interface Candidate extends Pickable {
  runner: Runner
}

/** Allocates slots at backend servers; requests wait in the queue while no slot is free. */
export class SlotAllocator {
  constructor (private readonly opts: SlotAllocatorOptions) {}

  /** Waits for a slot; rejects with the queue's errors, or immediately with NO_RUNNER when no server is eligible. */
  async acquire (request: SlotRequest): Promise<Slot> {
    if (this.opts.eligible.list(request.partner, request.service).length === 0) {
      throw new PulleystackError('NO_RUNNER', `No backend server is eligible for "${request.service}"`, {
        hint: 'Check the service\'s selectors against the servers\' labels (pulleystack explain).',
        retryAfterSeconds: 5,
      })
    }
    return this.opts.queue.acquire({
      partner: request.partner,
      serviceClass: request.serviceClass,
      lane: `${request.service}|${request.items?.[0] ?? ''}`,
      deadline: request.deadline,
      expectedMs: this.estimateMs(request),
      signal: request.signal,
      tryGrant: () => this.tryAcquire(request),
    })
  }

  /** Expected milliseconds on the fastest ready server; 0 when unknown. */
  private estimateMs (request: SlotRequest): number {
    const { tokens } = request
    if (tokens === undefined) return 0
    const estimatesMs = this.listReady(request).map((runner) => runner.msPerToken * tokens)
    return estimatesMs.length === 0 ? 0 : Math.min(...estimatesMs)
  }

  /** Acquires a slot without waiting; undefined when no ready server has a free one. */
  tryAcquire (request: SlotRequest): Slot | undefined {
    const ready = this.listReady(request)
    const untried = ready.filter((runner) => !request.excluded.has(runner.id))
    const usable = listUsable(untried.length > 0 ? untried : ready, this.opts.clock.readTime())
    const free = usable.filter((runner) => this.hasFreeSlot(runner, request))
    if (free.length === 0) return undefined
    const candidate = this.opts.picker.pick(free.map((runner) => this.buildCandidate(runner)), request)
    return this.takeSlot(candidate.runner, request)
  }

  /** Lists the servers that are ready for the request, whether or not they have a free slot. */
  listReady (request: Pick<SlotRequest, 'partner' | 'service' | 'items' | 'adapter'>): readonly Runner[] {
    const allowed = this.opts.eligible.list(request.partner, request.service)
    if (!request.items) return allowed
    const { adapter } = request
    for (const item of request.items) {
      const ready = allowed.filter((runner) => runner.hasReady(item) && (!adapter || runner.hasReady(adapter)))
      if (ready.length > 0) return ready
    }
    return []
  }

  /** Whether a server has stopped reporting while another one that can serve the request has not. */
  isLost (runner: Runner, request: Pick<SlotRequest, 'partner' | 'service' | 'items' | 'adapter'>): boolean {
    const now = this.opts.clock.readTime()
    return runner.isSilent(now) && this.listReady(request).some((other) => other !== runner && !other.isSilent(now))
  }

  /** Whether this instance may send one more request of this partner and class to the server. */
  hasFreeSlot (runner: Runner, request: Pick<DispatchRequest, 'partner' | 'serviceClass'>): boolean {
    const { limit } = runner.limiter
    const now = this.opts.clock.readTime()
    if (runner.ownInFlight >= limit || now < runner.pausedUntil || runner.isFull(now)) return false
    const reservedSlots = limit >= MIN_DIVISIBLE_SLOTS ? Math.max(1, Math.floor(limit * LOOKUP_RESERVE_FRACTION)) : 0
    if (request.serviceClass === ServiceClasses.WORK && runner.workInFlight >= limit - reservedSlots) return false
    return runner.countInFlight(request.partner) < this.computePartnerLimit(runner, request.partner)
  }

  /** Number of slots left by the guaranteed shares of the other partners that have items or services on the server. */
  private computePartnerLimit (runner: Runner, partner: string): number {
    const { limit } = runner.limiter
    if (limit < MIN_DIVISIBLE_SLOTS) return limit
    const hostedPartners = runner.listPartners()
    let guaranteed = 0
    for (const quota of this.opts.index.listObjects(Kinds.QUOTA)) {
      if (quota.partner !== partner && hostedPartners.has(quota.partner)) guaranteed += quota.spec.guaranteedShare
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
      networkMs: this.computeHopMs(runner),
      estimateLoad: () => runner.estimateLoad(),
      countMatching: (blocks) => runner.cache.countMatching(blocks),
    }
  }

  private computeHopMs (runner: Runner): number {
    const { self } = this.opts.view
    if (runner.server.dataHall === self.dataHall) return HopMs.SAME_DATA_HALL
    return runner.server.region === self.region ? HopMs.SAME_REGION : HopMs.OTHER_REGION
  }

  private takeSlot (runner: Runner, request: SlotRequest): Slot {
    const startedAt = this.opts.clock.readTime()
    const isLookup = request.serviceClass === ServiceClasses.LOOKUP
    const missingBlocks = request.blocks.length - runner.cache.countMatching(request.blocks)
    const item = request.items?.find((it) => runner.hasReady(it))
    runner.recordStart(request.partner, isLookup, startedAt, item)
    runner.cache.addUnconfirmed(request.blocks)
    const inFlight = runner.ownInFlight
    let ended = false
    const end = (outcome: SlotOutcome): void => {
      if (ended) return
      ended = true
      runner.recordEnd(request.partner, isLookup, this.opts.clock.readTime(), item)
      this.recordOutcome(runner, { ...outcome, startedAt, missingBlocks, inFlight })
      this.opts.queue.serveWaiting()
    }
    return { runner, item, startedAt, missingBlocks, end }
  }

  private recordOutcome (runner: Runner, outcome: SlotOutcome & { startedAt: number, missingBlocks: number, inFlight: number }): void {
    const now = this.opts.clock.readTime()
    const { firstByteMs } = outcome
    if (outcome.failed) {
      if (runner.outlier.recordFailure(now, this.opts.random.readFraction())) this.opts.ring.record(EventKinds.RUNNER_EJECTED, { server: runner.id })
    } else {
      runner.outlier.recordSuccess()
      runner.recordServiceTime(now - outcome.startedAt, outcome.tokens)
    }
    if (firstByteMs === undefined && !outcome.overloaded) return
    if (firstByteMs !== undefined) runner.recordPrefill(outcome.missingBlocks, firstByteMs)
    const prefillMs = outcome.missingBlocks * runner.prefillMsPerBlock
    runner.limiter.addSample({
      firstByteMs: Math.max(1, (firstByteMs ?? 0) - prefillMs),
      inFlight: outcome.inFlight,
      waitingShare: runner.isOutdated(now) ? 0 : runner.waiting / runner.slots,
      serviceMs: runner.serviceMs,
      overloaded: outcome.overloaded ?? false,
      now,
    })
  }
}
