import type { Policy } from '@pulleystack/config.settings'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { ResidencyClient } from '@pulleystack/placement.residency'
import { ChoiceFailures, PREFILL_TOKENS_PER_MS, chooseBackend, nameWeights, type BackendChoice, type BackendFleet, type ChoiceFailure } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { BackendPlace, PlaceChanges } from './BackendPlace.js'
import type { RoutedWork } from './RoutedWork.js'
import { computeWaitBounds, type WaitBounds } from './WaitPolicy.js'

/** Requests that a plain server may have beyond its slots, as a share of them; they wait in its own queue for less than its work takes. */
const QUEUE_SHARE = 1.5
/** When nothing better is known, clients come back after this time, in which a full server ends about a third of its streams. */
const RETRY_AFTER_SECONDS = 0.6
/**
 * Share of the longest pause that a route allows in which prompts may be read beside its streams. Streams that paused for too long had twelve
 * prompts come to their server within 200 ms at the median, the others six (logs of the users' days trouble-1 and scale-1).
 */
const READING_SHARE = 0.5
/** A waiting request asks so often whether its weights come by now. */
const ASK_AGAIN_MS = 250
/** Requests that wait here at most; beyond it a pass over all of them would take longer than the moments between two. */
const MAX_WAITING = 400
/** Clients that are told to come back when weights are there come so much later at most, as a share of the time, and not all at once. */
const RETRY_SPREAD = 0.5

interface Waiting {
  work: RoutedWork
  bounds: WaitBounds
  /** Waits until so many milliseconds after its arrival from now on. */
  extend: (untilMs: number) => void
  settle: (place: BackendPlace) => void
  fail: (error: PulleystackError) => void
  /** Monotone time from which on the weights may be asked for again. */
  askAgainAt: number
  lastFailure: ChoiceFailure
  /** When its client is told to come back. */
  retryAfterSeconds: number
}

export interface BackendQueueOptions {
  clock: Clock
  random: RandomSource
  fleet: BackendFleet
  residency: ResidencyClient
  log: DecisionLog
  dataHall: string
  policy: Policy
}

/** Hands out places at backend servers; requests wait here, the most urgent first, and not in the servers' own queues. */
export class BackendQueue {
  private readonly waiting: Waiting[] = []
  private isClosed = false

  constructor (private readonly opts: BackendQueueOptions) {
    opts.fleet.changes.subscribe(() => this.pump())
  }

  get size (): number {
    return this.waiting.length
  }

  isWaiting (work: RoutedWork): boolean {
    return this.waiting.some((item) => item.work === work)
  }

  /** Resolves with a place; rejects, always with `ran: no`, as soon as none can be had in time. */
  acquire (work: RoutedWork): Promise<BackendPlace> {
    if (this.waiting.length === 0) {
      const place = this.tryPlace(work)
      if (place instanceof BackendPlace) return Promise.resolve(place)
      if (place === ChoiceFailures.NO_BACKEND) return Promise.reject(createRefusal(place))
    }
    if (this.isClosed && !hasBegun(work)) return Promise.reject(createStopping())
    if (this.waiting.length >= MAX_WAITING) return Promise.reject(createRefusal(ChoiceFailures.FULL))
    return this.wait(work)
  }

  /**
   * Whether another server than the one where the request has its place has room for it now. Those who wait do so for other servers or weights, or
   * that room would have been theirs; who is more urgent still comes first when the request joins them.
   */
  hasPlaceBeside (work: RoutedWork, place: BackendPlace): boolean {
    const excluded = new Set([...work.excluded, place.backend.id])
    return typeof this.choose(work, this.computeReadingLimit(work), excluded) !== 'string'
  }

  /**
   * Refuses those who wait, and lets nobody wait any more; whoever finds a place at once still gets it. An answer that has begun can't be
   * refused, so that it still waits for one that can go on with it.
   */
  close (): void {
    this.isClosed = true
    for (const item of this.waiting.filter(({ work }) => !hasBegun(work))) item.fail(createStopping())
  }

  /** Gives places that came free to those who wait. */
  pump (): void {
    for (const item of [...this.waiting]) {
      if (!this.waiting.includes(item)) continue
      const place = this.tryPlace(item.work)
      if (place instanceof BackendPlace) item.settle(place)
      else this.noteFailure(item, place)
      if (place === ChoiceFailures.NO_BACKEND) item.fail(createRefusal(place))
      if (place === ChoiceFailures.NOT_RESIDENT) this.askForWeights(item, false)
      if (place === ChoiceFailures.FULL) this.askForWeights(item, true)
    }
  }

  private noteFailure (item: Waiting, failure: ChoiceFailure): void {
    // Servers read prompts within moments, so that a wait for them is no reason to send a client away.
    if (failure === ChoiceFailures.READING && item.lastFailure !== failure) item.extend(item.bounds.weightsWithinMs)
    item.lastFailure = failure
  }

  private tryPlace (work: RoutedWork, readingLimit = this.computeReadingLimit(work)): BackendPlace | ChoiceFailure {
    const choice = this.choose(work, readingLimit, work.excluded)
    if (typeof choice === 'string') return choice
    const { generation } = work
    if (generation) this.opts.fleet.notePrefix(choice.backend, nameWeights(generation.model, generation.adapter), generation.parts)
    const takenAt = this.opts.clock.readTime()
    const place: BackendPlace = new BackendPlace(choice, work, (change) => {
      this.opts.fleet.noteLoadChange()
      if (change === PlaceChanges.TAKEN) return
      if (change === PlaceChanges.ENDED && place.wasServed) this.noteEnded(place, work, takenAt)
      this.pump()
    })
    return place
  }

  private choose (work: RoutedWork, readingLimit: number, excluded: ReadonlySet<string>): BackendChoice | ChoiceFailure {
    return chooseBackend({
      backends: this.opts.fleet.list(work.service.name),
      demand: { dataHall: this.opts.dataHall, excluded, generation: work.generation, queueShare: QUEUE_SHARE, readingLimit },
      figures: work.service.serving,
      policy: this.opts.policy,
      random: this.opts.random,
      now: this.opts.clock.readTime(),
    })
  }

  private computeReadingLimit (work: RoutedWork): number {
    const pauseMs = this.opts.policy.pacedReading ? work.route.longestPauseMs ?? Infinity : Infinity
    return pauseMs * READING_SHARE * PREFILL_TOKENS_PER_MS
  }

  private noteEnded (place: BackendPlace, work: RoutedWork, takenAt: number): void {
    const { generation, service } = work
    if (!generation) return
    const { model, adapter } = generation
    const took = { heldMs: this.opts.clock.readTime() - takenAt, readTokens: Math.max(0, generation.promptTokens - place.choice.keptTokens) }
    this.opts.residency.noteEnded({ service: service.name, model, adapter }, took)
  }

  private wait (work: RoutedWork): Promise<BackendPlace> {
    const { clock } = this.opts
    return new Promise((resolve, reject) => {
      const leave = (): void => {
        cancel()
        work.signal.removeEventListener('abort', abandon)
        const at = this.waiting.indexOf(item)
        if (at >= 0) this.waiting.splice(at, 1)
      }
      const expire = (): void => {
        // Beside many other prompts is better than not at all.
        const place = item.lastFailure === ChoiceFailures.READING ? this.tryPlace(work, Infinity) : undefined
        if (place instanceof BackendPlace) item.settle(place)
        else item.fail(createRefusal(item.lastFailure, item.retryAfterSeconds))
      }
      const schedule = (untilMs: number): () => void => clock.setTimer(Math.max(0, work.arrivedAt + untilMs - clock.readTime()), expire)
      const bounds = computeWaitBounds(work, this.opts.policy)
      const item: Waiting = {
        work,
        bounds,
        retryAfterSeconds: this.spreadRetry(RETRY_AFTER_SECONDS),
        extend: (untilMs) => {
          cancel()
          cancel = schedule(untilMs)
        },
        askAgainAt: -Infinity,
        lastFailure: ChoiceFailures.FULL,
        settle: (place) => {
          leave()
          resolve(place)
        },
        fail: (error) => {
          leave()
          reject(error)
        },
      }
      const abandon = (): void => item.fail(new PulleystackError('CALLER_GONE', 'The client went away while the request waited', { ran: Ran.NO }))
      let cancel = schedule(bounds.refuseAfterMs)
      work.signal.addEventListener('abort', abandon, { once: true })
      this.insert(item)
      if (work.signal.aborted) abandon()
      else this.pump()
      if (this.waiting.includes(item)) this.noteWaiting(item)
    })
  }

  /** Weights that come in time are waited for; otherwise the client is told when to come back. */
  private waitForWeights (item: Waiting, expectedMs: number): void {
    const readyMs = this.opts.clock.readTime() + expectedMs - item.work.arrivedAt
    if (readyMs > item.bounds.weightsWithinMs) {
      item.fail(new PulleystackError('NO_RUNNER', 'The model will be there too late', { retryAfterSeconds: item.retryAfterSeconds }))
      return
    }
    item.extend(item.bounds.longestMs)
    this.pump()
  }

  private spreadRetry (seconds: number): number {
    return seconds * (1 + this.opts.random.readFraction() * RETRY_SPREAD)
  }

  private noteWaiting (item: Waiting): void {
    const { generation, requestId, service } = item.work
    const weights = generation && nameWeights(generation.model, generation.adapter)
    const facts = { request: requestId, service: service.name, weights, reason: item.lastFailure, waiting: this.waiting.length }
    this.opts.log.record(DecisionKinds.REQUEST_WAITING, facts)
  }

  private insert (item: Waiting): void {
    const at = this.waiting.findIndex((other) => compareUrgency(item.work, other.work) < 0)
    this.waiting.splice(at < 0 ? this.waiting.length : at, 0, item)
  }

  private askForWeights (item: Waiting, isMore: boolean): void {
    const { clock, residency } = this.opts
    if (!item.work.generation || clock.readTime() < item.askAgainAt) return
    item.askAgainAt = clock.readTime() + ASK_AGAIN_MS
    const { model, adapter } = item.work.generation
    const waitMs = item.work.arrivedAt + item.bounds.longestMs - clock.readTime()
    void residency.requestWeights({ service: item.work.service.name, model, adapter, isMore, waitMs }).then((answer) => {
      if (!answer.coming) return
      item.retryAfterSeconds = this.spreadRetry(answer.expectedMs / 1000)
      if (!isMore) this.waitForWeights(item, answer.expectedMs)
    })
  }
}

/** The client has a part of the answer. */
function hasBegun (work: RoutedWork): boolean {
  return work.stream.events > 0
}

/** Another instance may have a place; this one ends before it could finish the request. */
function createStopping (): PulleystackError {
  return new PulleystackError('INSTANCE_STOPPING', 'This instance ends before the request would get a place', { retryAfterSeconds: 0 })
}

/** The most urgent class first; in it those who came back after a refusal, then whoever would be late first. */
function compareUrgency (a: RoutedWork, b: RoutedWork): number {
  return a.route.priority - b.route.priority || Number(b.isReturning) - Number(a.isReturning) || findDueAt(a) - findDueAt(b)
}

function findDueAt (work: RoutedWork): number {
  return work.arrivedAt + work.route.targetLatencyMs
}

function createRefusal (failure: ChoiceFailure, retryAfterSeconds = RETRY_AFTER_SECONDS): PulleystackError {
  const opts = { retryAfterSeconds }
  if (failure === ChoiceFailures.FULL) return new PulleystackError('OVERLOADED', 'All servers that could run the request are full', opts)
  return new PulleystackError('NO_RUNNER', `No server could run the request: ${failure}`, opts)
}
