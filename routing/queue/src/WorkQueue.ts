import { ServiceClasses, type ServiceClass } from '@pulleystack/config.objects'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { DeadlineHeap } from './DeadlineHeap.js'
import { FairShare } from './FairShare.js'

/** One request that wants a place at a backend server. */
export interface QueuedWork<Grant> {
  partner: string
  serviceClass: ServiceClass
  /** Requests of one lane can run at the same servers, so that the first of a lane stands for all. */
  lane: string
  /** Monotone time after which the answer is of no use. */
  deadline: number
  /** Milliseconds that the work will likely take; started later than that before its deadline, it would be done in vain. */
  expectedMs?: number
  /** Tries to take a place now; undefined when there is none. */
  tryGrant: () => Grant | undefined
  signal: AbortSignal
}

export interface WorkQueueOptions {
  clock: Clock
  /** Requests of one partner that may wait. Each has its own bound, so that a burst of one can't shut out the other. */
  maxPerPartner: number
  getWeight: (partner: string) => number
}

interface Waiting<Grant> extends QueuedWork<Grant> {
  since: number
  settle: (grant: Grant) => void
  fail: (error: PulleystackError) => void
}

interface Lane<Grant> {
  partner: string
  serviceClass: ServiceClass
  heap: DeadlineHeap<Waiting<Grant>>
  /** Smoothed milliseconds between two grants. */
  gapMs: number
  grantedAt: number
}

// One grant in this many goes to work before lookups, so that a storm can't stop it altogether.
const FLOOR_EVERY = 10
const EWMA_SHARE = 0.2

/** Holds requests until a server has a place. Nothing here has been sent, so every refusal is `ran: no`. */
export class WorkQueue<Grant> {
  private readonly lanes = new Map<string, Lane<Grant>>()
  private readonly counts = new Map<string, number>()
  private readonly shares: FairShare
  private grants = 0
  private pumping = false

  constructor (private readonly opts: WorkQueueOptions) {
    this.shares = new FairShare(opts.getWeight)
  }

  get size (): number {
    let sum = 0
    for (const count of this.counts.values()) sum += count
    return sum
  }

  countWaiting (partner: string): number {
    return this.counts.get(partner) ?? 0
  }

  /** Resolves with a place, or fails with OVERLOADED, DEADLINE_NOT_RUN or CALLER_GONE; always before the deadline. */
  acquire (work: QueuedWork<Grant>): Promise<Grant> {
    const lane = this.findLane(work)
    const inTime = findLatestStart(work) >= this.opts.clock.readTime()
    const grant = inTime && lane.heap.size === 0 ? work.tryGrant() : undefined
    if (grant !== undefined) {
      this.noteGrant(lane, work)
      return Promise.resolve(grant)
    }
    const refusal = this.checkRoom(work, lane)
    return refusal ? Promise.reject(refusal) : this.wait(work, lane)
  }

  /** Gives places that came free to those who wait, in the right order. */
  pump (): void {
    if (this.pumping) return
    this.pumping = true
    try {
      while (this.grantOne()) { /* until nobody can be served */ }
    } finally {
      this.pumping = false
    }
  }

  private wait (work: QueuedWork<Grant>, lane: Lane<Grant>): Promise<Grant> {
    const { clock } = this.opts
    return new Promise((resolve, reject) => {
      const leave = (): void => {
        cancel()
        work.signal.removeEventListener('abort', abandon)
        this.counts.set(work.partner, this.countWaiting(work.partner) - 1)
      }
      const waiting: Waiting<Grant> = {
        ...work,
        since: clock.readTime(),
        settle: (grant) => {
          leave()
          resolve(grant)
        },
        fail: (error) => {
          leave()
          lane.heap.remove(waiting)
          reject(error)
        },
      }
      const abandon = (): void => waiting.fail(new PulleystackError('CALLER_GONE', 'The caller went away while the request waited', { ran: 'no' }))
      const cancel = clock.setTimer(Math.max(0, findLatestStart(work) - clock.readTime()), () => waiting.fail(createLate()))
      work.signal.addEventListener('abort', abandon, { once: true })
      if (this.countWaiting(work.partner) === 0) this.shares.activate(work.partner)
      this.counts.set(work.partner, this.countWaiting(work.partner) + 1)
      lane.heap.push(waiting)
      if (work.signal.aborted) abandon()
    })
  }

  private checkRoom (work: QueuedWork<Grant>, lane: Lane<Grant>): PulleystackError | undefined {
    const left = findLatestStart(work) - this.opts.clock.readTime()
    if (left <= 0) return createLate()
    const expectedMs = lane.heap.countBefore(work.deadline) * lane.gapMs
    const full = this.countWaiting(work.partner) >= this.opts.maxPerPartner
    if (!full && expectedMs <= left) return undefined
    const retryAfterSeconds = Math.max(1, Math.ceil(Math.min(expectedMs, 60_000) / 1000))
    return new PulleystackError('OVERLOADED', `${this.countWaiting(work.partner)} requests wait; this one would not be done in time`, {
      retryAfterSeconds,
      hint: `Ask again after ${retryAfterSeconds} s.`,
    })
  }

  private grantOne (): boolean {
    for (const lane of this.listLanes()) {
      const first = lane.heap.peek()
      const grant = first?.tryGrant()
      if (!first || grant === undefined) continue
      lane.heap.remove(first)
      this.noteGrant(lane, first)
      first.settle(grant)
      return true
    }
    return false
  }

  private noteGrant (lane: Lane<Grant>, work: QueuedWork<Grant>): void {
    const now = this.opts.clock.readTime()
    // Only gaps while others waited tell how fast the lane moves.
    if (lane.heap.size > 0) lane.gapMs += (now - lane.grantedAt - lane.gapMs) * EWMA_SHARE
    lane.grantedAt = now
    this.grants++
    if (this.countWaiting(work.partner) === 0) this.shares.activate(work.partner)
    this.shares.charge(work.partner)
  }

  private listLanes (): Lane<Grant>[] {
    const first = this.grants % FLOOR_EVERY === FLOOR_EVERY - 1 ? ServiceClasses.WORK : ServiceClasses.LOOKUP
    const waiting = [...this.lanes.values()].filter((lane) => lane.heap.size > 0)
    return waiting.sort((a, b) => this.compareLanes(a, b, first))
  }

  private compareLanes (a: Lane<Grant>, b: Lane<Grant>, first: ServiceClass): number {
    if (a.serviceClass !== b.serviceClass) return a.serviceClass === first ? -1 : 1
    const share = this.shares.compare(a.partner, b.partner)
    if (share !== 0) return share
    return (a.heap.peek()?.deadline ?? 0) - (b.heap.peek()?.deadline ?? 0)
  }

  private findLane (work: QueuedWork<Grant>): Lane<Grant> {
    const name = `${work.serviceClass}|${work.partner}|${work.lane}`
    const present = this.lanes.get(name)
    if (present) return present
    const { partner, serviceClass } = work
    const lane: Lane<Grant> = { partner, serviceClass, heap: new DeadlineHeap(), gapMs: 0, grantedAt: this.opts.clock.readTime() }
    this.lanes.set(name, lane)
    return lane
  }
}

function findLatestStart (work: { deadline: number, expectedMs?: number }): number {
  return work.deadline - (work.expectedMs ?? 0)
}

function createLate (): PulleystackError {
  return new PulleystackError('DEADLINE_NOT_RUN', 'The request waited for a place until it could not be done by its deadline any more', { retryAfterSeconds: 1 })
}
