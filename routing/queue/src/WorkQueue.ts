import { ServiceClasses, type ServiceClass } from '@pulleystack/config.objects'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { DeadlineHeap } from './DeadlineHeap.js'
import { FairShare } from './FairShare.js'

/** A request that needs a slot at a backend server. */
export interface QueuedWork<Grant> {
  partner: string
  serviceClass: ServiceClass
  /** Requests of a lane can run on the same servers: if the first one gets no slot, none of them can. */
  lane: string
  /** Monotonic time in milliseconds after which the response is useless. */
  deadline: number
  /** Expected service time in milliseconds; a request that could not finish by its deadline is not started. */
  expectedMs?: number
  /** Tries to acquire a slot now; returns undefined if none is free. */
  tryGrant: () => Grant | undefined
  signal: AbortSignal
}

export interface WorkQueueOptions {
  clock: Clock
  /** Maximum waiting requests per partner; a burst from one partner does not block the others. */
  maxPerPartner: number
  getWeight: (partner: string) => number
}

interface QueuedRequest<Grant> extends QueuedWork<Grant> {
  enqueuedAt: number
  settle: (grant: Grant) => void
  fail: (error: PulleystackError) => void
}

interface Lane<Grant> {
  partner: string
  serviceClass: ServiceClass
  heap: DeadlineHeap<QueuedRequest<Grant>>
  /** Smoothed milliseconds between two grants. */
  grantIntervalMs: number
  lastGrantAt: number
}

// One in this many grants prefers work, so that lookups cannot starve it.
const WORK_FIRST_INTERVAL = 10
const EWMA_WEIGHT = 0.2

/** Holds requests until a server has a free slot. Queued requests have not been sent, so every rejection has `ran: 'no'`. */
export class WorkQueue<Grant> {
  private readonly lanes = new Map<string, Lane<Grant>>()
  private readonly waitingByPartner = new Map<string, number>()
  private readonly fairShare: FairShare
  private grantCount = 0
  private isPumping = false

  constructor (private readonly opts: WorkQueueOptions) {
    this.fairShare = new FairShare(opts.getWeight)
  }

  get size (): number {
    let sum = 0
    for (const count of this.waitingByPartner.values()) sum += count
    return sum
  }

  countWaiting (partner: string): number {
    return this.waitingByPartner.get(partner) ?? 0
  }

  /** Resolves with a slot or rejects with OVERLOADED, DEADLINE_NOT_RUN or CALLER_GONE, always before the deadline. */
  acquire (work: QueuedWork<Grant>): Promise<Grant> {
    const lane = this.findOrCreateLane(work)
    const isFeasible = computeLatestStart(work) >= this.opts.clock.readTime()
    const grant = isFeasible && lane.heap.size === 0 ? work.tryGrant() : undefined
    if (grant !== undefined) {
      this.recordGrant(lane, work)
      return Promise.resolve(grant)
    }
    const rejection = this.checkCapacity(work, lane)
    return rejection ? Promise.reject(rejection) : this.enqueue(work, lane)
  }

  /** Grants free slots to waiting requests in order of precedence. */
  serveWaiting (): void {
    if (this.isPumping) return
    this.isPumping = true
    try {
      while (this.grantOne()) { /* until no waiting request can get a slot */ }
    } finally {
      this.isPumping = false
    }
  }

  private enqueue (work: QueuedWork<Grant>, lane: Lane<Grant>): Promise<Grant> {
    const { clock } = this.opts
    return new Promise((resolve, reject) => {
      const finishWaiting = (): void => {
        cancelTimer()
        work.signal.removeEventListener('abort', onAbort)
        this.waitingByPartner.set(work.partner, this.countWaiting(work.partner) - 1)
      }
      const queued: QueuedRequest<Grant> = {
        ...work,
        enqueuedAt: clock.readTime(),
        settle: (grant) => {
          finishWaiting()
          resolve(grant)
        },
        fail: (error) => {
          finishWaiting()
          lane.heap.remove(queued)
          reject(error)
        },
      }
      const onAbort = (): void => queued.fail(new PulleystackError('CALLER_GONE', 'The caller disconnected while the request was queued', { ran: 'no' }))
      const cancelTimer = clock.setTimer(Math.max(0, computeLatestStart(work) - clock.readTime()), () => queued.fail(createDeadlineError()))
      work.signal.addEventListener('abort', onAbort, { once: true })
      if (this.countWaiting(work.partner) === 0) this.fairShare.activate(work.partner)
      this.waitingByPartner.set(work.partner, this.countWaiting(work.partner) + 1)
      lane.heap.push(queued)
      if (work.signal.aborted) onAbort()
    })
  }

  private checkCapacity (work: QueuedWork<Grant>, lane: Lane<Grant>): PulleystackError | undefined {
    const remainingMs = computeLatestStart(work) - this.opts.clock.readTime()
    if (remainingMs <= 0) return createDeadlineError()
    const expectedWaitMs = lane.heap.countBefore(work.deadline) * lane.grantIntervalMs
    const isFull = this.countWaiting(work.partner) >= this.opts.maxPerPartner
    if (!isFull && expectedWaitMs <= remainingMs) return undefined
    const retryAfterSeconds = Math.max(1, Math.ceil(Math.min(expectedWaitMs, 60_000) / 1000))
    return new PulleystackError('OVERLOADED', `${this.countWaiting(work.partner)} requests are queued; the queue is full or the deadline too close`, {
      retryAfterSeconds,
      hint: `Retry after ${retryAfterSeconds} s.`,
    })
  }

  private grantOne (): boolean {
    for (const lane of this.listWaitingLanes()) {
      const first = lane.heap.peek()
      const grant = first?.tryGrant()
      if (!first || grant === undefined) continue
      lane.heap.remove(first)
      this.recordGrant(lane, first)
      first.settle(grant)
      return true
    }
    return false
  }

  private recordGrant (lane: Lane<Grant>, work: QueuedWork<Grant>): void {
    const now = this.opts.clock.readTime()
    // Only intervals with requests still waiting show the lane's throughput.
    if (lane.heap.size > 0) lane.grantIntervalMs += (now - lane.lastGrantAt - lane.grantIntervalMs) * EWMA_WEIGHT
    lane.lastGrantAt = now
    this.grantCount++
    if (this.countWaiting(work.partner) === 0) this.fairShare.activate(work.partner)
    this.fairShare.charge(work.partner)
  }

  private listWaitingLanes (): Lane<Grant>[] {
    const preferredClass = this.grantCount % WORK_FIRST_INTERVAL === WORK_FIRST_INTERVAL - 1 ? ServiceClasses.WORK : ServiceClasses.LOOKUP
    const lanes = [...this.lanes.values()].filter((lane) => lane.heap.size > 0)
    return lanes.sort((a, b) => this.compareLanes(a, b, preferredClass))
  }

  private compareLanes (a: Lane<Grant>, b: Lane<Grant>, preferredClass: ServiceClass): number {
    if (a.serviceClass !== b.serviceClass) return a.serviceClass === preferredClass ? -1 : 1
    const shareOrder = this.fairShare.compare(a.partner, b.partner)
    if (shareOrder !== 0) return shareOrder
    return (a.heap.peek()?.deadline ?? 0) - (b.heap.peek()?.deadline ?? 0)
  }

  private findOrCreateLane (work: QueuedWork<Grant>): Lane<Grant> {
    const key = `${work.serviceClass}|${work.partner}|${work.lane}`
    const existing = this.lanes.get(key)
    if (existing) return existing
    const { partner, serviceClass } = work
    const lane: Lane<Grant> = { partner, serviceClass, heap: new DeadlineHeap(), grantIntervalMs: 0, lastGrantAt: this.opts.clock.readTime() }
    this.lanes.set(key, lane)
    return lane
  }
}

function computeLatestStart (work: { deadline: number, expectedMs?: number }): number {
  return work.deadline - (work.expectedMs ?? 0)
}

function createDeadlineError (): PulleystackError {
  return new PulleystackError('DEADLINE_NOT_RUN', 'No slot became free in time to finish the request by its deadline', { retryAfterSeconds: 1 })
}
