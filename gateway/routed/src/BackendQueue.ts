import type { Policy } from '@pulleystack/config.settings'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { estimateLoadMs, type NeedAnswer, type ResidencyClient } from '@pulleystack/placement.residency'
import { compareUrgency, isInTime, judgeWait, type Candidate, type WaitEstimate } from '@pulleystack/routing.admission'
import { ChoiceFailures, PREFILL_TOKENS_PER_MS, chooseBackend, nameWeights, type Backend, type BackendChoice, type BackendFleet, type ChoiceFailure } from '@pulleystack/routing.fleet'
import type { ServerPermits } from '@pulleystack/routing.permits'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { BackendPlace, PlaceChanges } from './BackendSlot.js'
import { createRefusal, createStopping } from './createRejection.js'
import { PlaceForecast, namePlaces } from './SlotForecast.js'
import type { RoutedWork } from './RoutedWork.js'
import { WantedPermits } from './PermitDemand.js'

/** Requests that a plain server may have beyond its slots, as a share of them; they wait in its own queue for less than its work takes. */
const QUEUE_SHARE = 1.5
/** When nothing is known of when a place will come, clients come back after this time: entries of servers are back within about two seconds. */
const RETRY_AFTER_SECONDS = 1
/**
 * Share of the longest pause that a route allows in which prompts may be read beside its streams. Streams that paused for too long had twelve
 * prompts come to their server within 200 ms at the median, the others six (logs of the users' days trouble-1 and scale-1).
 */
const READING_SHARE = 0.5
/** A waiting request asks so often whether its weights come by now. */
const ASK_AGAIN_MS = 250
/** Requests that wait here at most; beyond it a pass over all of them would take longer than the moments between two. */
const MAX_WAITING = 400
/** Clients that are told when to come back come so much later at most, as a share of the time, and not all at once. */
const RETRY_SPREAD = 0.5

interface Waiting {
  work: RoutedWork
  candidate: Candidate
  settle: (place: BackendPlace) => void
  fail: (error: PulleystackError) => void
  /** Monotone time from which on the weights may be asked for again. */
  askAgainAt: number
  /** What the one that places models said last; undefined before its first answer. */
  needAnswer: NeedAnswer | undefined
  /** Monotone time at which that was said. */
  answeredAt: number
  lastFailure: ChoiceFailure
  /** A log line tells which limits hold it back. */
  isLimitNoted: boolean
}

export interface BackendQueueOptions {
  clock: Clock
  random: RandomSource
  fleet: BackendFleet
  /** Undefined where servers name no limits. */
  permits?: Pick<ServerPermits, 'request' | 'giveBack'>
  residency: ResidencyClient
  log: DecisionLog
  dataHall: string
  policy: Policy
}

/** Hands out places at backend servers; requests wait here, the most urgent first, and not in the servers' own queues. */
export class BackendQueue {
  private waiting: Waiting[] = []
  private isClosed = false
  private readonly forecast: PlaceForecast
  private readonly permits: WantedPermits
  /** When the queue looks again although nothing has happened; undefined while it has no reason to. */
  private wake: { at: number, cancel: () => void } | undefined

  constructor (private readonly opts: BackendQueueOptions) {
    this.forecast = new PlaceForecast(opts)
    this.permits = new WantedPermits(opts.permits)
    opts.fleet.changes.subscribe(() => this.pump())
  }

  get size (): number {
    return this.waiting.length
  }

  isWaiting (work: RoutedWork): boolean {
    return this.waiting.some((item) => item.work === work)
  }

  /** Resolves with a place; rejects, always with `ran: no`, as soon as it is known that none will come in time. */
  acquire (work: RoutedWork): Promise<BackendPlace> {
    this.forecast.noteArrived(work)
    if (this.waiting.length === 0) {
      const place = this.tryPlace(work)
      // Where a limited server would have been better, a right that is asked for now serves the next request.
      if (place instanceof BackendPlace) this.permits.request()
      if (place instanceof BackendPlace) return Promise.resolve(place)
      if (place === ChoiceFailures.NO_BACKEND) return Promise.reject(createRefusal(place, this.spreadRetry(work)))
    }
    if (this.isClosed && !hasBegun(work)) return Promise.reject(createStopping())
    if (this.waiting.length >= MAX_WAITING) return Promise.reject(createRefusal(ChoiceFailures.FULL, this.spreadRetry(work)))
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

  /** Gives places that came free to those who wait, and refuses those for whom none will come in time. */
  pump (): void {
    this.rankWaiting()
    for (const item of [...this.waiting]) {
      if (!this.waiting.includes(item)) continue
      const place = this.mustYield(item) ? ChoiceFailures.FULL : this.tryPlace(item.work)
      if (place instanceof BackendPlace) item.settle(place)
      else this.noteFailure(item, place)
    }
    this.permits.request()
  }

  /** One that is late in any case leaves places to those at other instances that can still be in time. */
  private mustYield ({ work, candidate }: Waiting): boolean {
    if (!this.opts.policy.timelyFirst || hasBegun(work)) return false
    if (isInTime(candidate, this.opts.clock.readTime()) || this.opts.fleet.waiting.countElsewhere(namePlaces(work)) === 0) return false
    return typeof this.choose(work, this.computeReadingLimit(work), work.excluded) !== 'string'
  }

  private noteFailure (item: Waiting, failure: ChoiceFailure): void {
    item.lastFailure = failure
    if (failure === ChoiceFailures.NO_BACKEND) item.fail(createRefusal(failure, this.spreadRetry(item.work)))
    else if (failure === ChoiceFailures.NOT_RESIDENT) this.askForWeights(item, false)
    else if (failure === ChoiceFailures.FULL) this.judgePlaces(item, () => this.forecast.estimatePlace(item.work, this.countAhead(item)))
    else if (failure === ChoiceFailures.BACKING_OFF) this.judgeBackoff(item)
    else if (failure === ChoiceFailures.LIMITED) this.judgeLimited(item)
    else this.judge(item, this.forecast.estimateReading(item.work, this.countAhead(item)))
  }

  /** Its last moment to be in time, or to be served at all: a prompt beside many others is better than none. */
  private placeBesideReading (item: Waiting): void {
    const place = item.lastFailure === ChoiceFailures.READING ? this.tryPlace(item.work, Infinity) : undefined
    if (place instanceof BackendPlace) item.settle(place)
  }

  private tryPlace (work: RoutedWork, readingLimit = this.computeReadingLimit(work)): BackendPlace | ChoiceFailure {
    const choice = this.choose(work, readingLimit, work.excluded, (backend) => this.permits.note(backend))
    if (typeof choice === 'string') return choice
    const { generation } = work
    if (generation) this.opts.fleet.notePrefix(choice.backend, nameWeights(generation.model, generation.adapter), generation.parts)
    const endTaken = this.forecast.noteTaken(choice.backend.id)
    const place: BackendPlace = new BackendPlace(choice, work, this.opts.clock, (change) => {
      this.opts.fleet.noteLoadChange()
      if (change === PlaceChanges.TAKEN) return
      if (change === PlaceChanges.UNSENT) this.permits.giveBack(choice.backend)
      if (change === PlaceChanges.ENDED) {
        endTaken()
        this.noteEnded(place, work)
      }
      this.pump()
    })
    return place
  }

  private choose (
    work: RoutedWork,
    readingLimit: number,
    excluded: ReadonlySet<string>,
    onLacking?: (backend: Backend) => void,
  ): BackendChoice | ChoiceFailure {
    return chooseBackend({
      backends: this.opts.fleet.list(work.service.name),
      demand: { dataHall: this.opts.dataHall, excluded, generation: work.generation, queueShare: QUEUE_SHARE, readingLimit, mustBeApart: work.mustBeApart },
      figures: work.service.serving,
      policy: this.opts.policy,
      random: this.opts.random,
      now: this.opts.clock.readTime(),
      onLacking,
    })
  }

  private computeReadingLimit (work: RoutedWork): number {
    const pauseMs = this.opts.policy.pacedReading ? work.route.longestPauseMs ?? Infinity : Infinity
    return pauseMs * READING_SHARE * PREFILL_TOKENS_PER_MS
  }

  private noteEnded (place: BackendPlace, work: RoutedWork): void {
    const times = place.readTimes()
    if (!times) return
    const { generation, service } = work
    const readTokens = Math.max(0, (generation?.promptTokens ?? 0) - place.choice.keptTokens)
    this.forecast.noteServed(work, { ...times, readTokens })
    if (!generation) return
    this.notePause(place, work)
    const { model, adapter } = generation
    this.opts.residency.noteEnded({ service: service.name, model, adapter }, { heldMs: times.heldMs, readTokens })
  }

  /** A stream that was taken up again paused for its former server's failure, which says nothing of how either reads. */
  private notePause (place: BackendPlace, { route, stream, excluded }: RoutedWork): void {
    if (route.longestPauseMs === undefined || stream.events < 2 || excluded.size > 0) return
    this.opts.fleet.notePause(place.backend, stream.longestPauseMs / route.longestPauseMs, this.opts.clock.readTime())
  }

  private wait (work: RoutedWork): Promise<BackendPlace> {
    const { clock, fleet, policy } = this.opts
    return new Promise((resolve, reject) => {
      const leave = (): void => {
        cancels.forEach((cancel) => cancel())
        work.signal.removeEventListener('abort', abandon)
        this.waiting = this.waiting.filter((other) => other !== item)
        endTally()
        fleet.noteLoadChange()
      }
      const candidate = this.forecast.describe(work, policy.patienceBound)
      let endTally = isInTime(candidate, clock.readTime()) ? fleet.waiting.add(namePlaces(work)) : () => undefined
      const item: Waiting = {
        work,
        candidate,
        askAgainAt: -Infinity,
        needAnswer: undefined,
        answeredAt: -Infinity,
        lastFailure: ChoiceFailures.FULL,
        isLimitNoted: false,
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
      const setTimer = (at: number, task: () => void): (() => void) => clock.setTimer(Math.max(0, at - clock.readTime()), task)
      const cancels = [
        setTimer(candidate.dueAt, () => {
          endTally()
          endTally = () => undefined
          // Requests at other instances yield to those in time here until they hear that there are none.
          fleet.noteLoadChange()
          this.placeBesideReading(item)
        }),
        setTimer(candidate.latestAt, () => {
          this.placeBesideReading(item)
          if (this.waiting.includes(item)) item.fail(createRefusal(item.lastFailure, this.spreadRetry(work)))
        }),
      ]
      work.signal.addEventListener('abort', abandon, { once: true })
      this.waiting.push(item)
      fleet.noteLoadChange()
      if (work.signal.aborted) abandon()
      else this.pump()
      if (this.waiting.includes(item)) this.noteWaiting(item)
    })
  }

  /** Who comes first changes as those who wait become late. */
  private rankWaiting (): void {
    const now = this.opts.clock.readTime()
    if (this.opts.policy.timelyFirst) this.waiting.sort((a, b) => compareUrgency(a.candidate, b.candidate, now))
    else this.waiting.sort((a, b) => a.candidate.priority - b.candidate.priority || a.work.arrivedAt - b.work.arrivedAt)
  }

  /** Refuses a request that can't wait until the first server takes requests again; one that can is tried then. */
  private judgeBackoff (item: Waiting): void {
    const leftMs = this.forecast.readBackoffMs(item.work)
    if (leftMs === undefined) return
    this.judgePlaces(item, () => ({ inTimeMs: leftMs, lateMs: leftMs }))
    if (this.waiting.includes(item)) this.scheduleWake(leftMs)
  }

  /** Refuses a request that can't wait until limits leave a place, once it is known that they leave none now. */
  private judgeLimited (item: Waiting): void {
    this.permits.request()
    this.askForWeights(item, true)
    if (this.forecast.isAskingForPermits(item.work)) return
    this.noteLimited(item)
    this.judgePlaces(item, () => this.forecast.estimatePermit(item.work, this.countAhead(item)))
  }

  /** Looks again after so long, or when it is to look sooner anyway. */
  private scheduleWake (ms: number): void {
    const { clock } = this.opts
    const at = clock.readTime() + ms
    if (this.wake && this.wake.at <= at) return
    this.wake?.cancel()
    const cancel = clock.setTimer(ms, () => {
      this.wake = undefined
      this.pump()
    })
    this.wake = { at, cancel }
  }

  /** Refuses a request for which no place will come in time; a copy of its weights that is on the way brings many. */
  private judgePlaces (item: Waiting, estimate: () => WaitEstimate | undefined): void {
    this.askForWeights(item, true)
    const { work, candidate, needAnswer } = item
    if (work.generation && !needAnswer) return
    if (needAnswer?.coming && item.answeredAt + needAnswer.expectedMs <= candidate.latestAt) return
    this.judge(item, estimate())
  }

  private judge (item: Waiting, estimate: WaitEstimate | undefined): void {
    const { work, candidate, lastFailure } = item
    if (!estimate || !this.opts.policy.waitEstimate || hasBegun(work)) return
    const verdict = judgeWait(candidate, estimate, this.opts.clock.readTime())
    if (!verdict.mayWait) item.fail(createRefusal(lastFailure, this.spreadRetry(work, verdict.expectedMs)))
  }

  private countAhead (item: Waiting): number {
    const name = namePlaces(item.work)
    let ahead = 0
    for (const other of this.waiting) {
      if (other === item) break
      if (namePlaces(other.work) === name) ahead++
    }
    return ahead
  }

  /** Refuses a request whose weights can't come in time. */
  private judgeWeights (item: Waiting): void {
    const { work, candidate, needAnswer, answeredAt } = item
    if (!needAnswer) return
    // Without one that orders it is still known how long a load takes at least.
    const expectedMs = needAnswer.coming ? needAnswer.expectedMs : needAnswer.earliestMs ?? this.estimateLoadMs(work)
    if (hasBegun(work) || !this.opts.policy.waitEstimate) return
    if (answeredAt + expectedMs <= candidate.latestAt) return
    item.fail(new PulleystackError('NO_RUNNER', 'The model will be there too late', { retryAfterSeconds: this.spreadRetry(work, expectedMs) }))
  }

  private estimateLoadMs ({ generation, service }: RoutedWork): number {
    const served = service.serving?.models.find((model) => model.name === generation?.model)
    const staying = this.opts.fleet.list(service.name).filter((backend) => !backend.entry.draining)
    // Where the model is, an adapter is all that lacks, which comes in moments.
    if (!served || staying.some((backend) => backend.hasWeights(served.name))) return 0
    return estimateLoadMs(staying.map((backend) => backend.entry), served)
  }

  /** When the client is told to come back: when a place is expected, or with the end of its time if that comes first. */
  private spreadRetry (work: RoutedWork, expectedMs = RETRY_AFTER_SECONDS * 1_000): number {
    const leftMs = Math.max(0, work.deadline - this.opts.clock.readTime())
    return Math.min(expectedMs, leftMs) / 1_000 * (1 + this.opts.random.readFraction() * RETRY_SPREAD)
  }

  private noteLimited (item: Waiting): void {
    if (item.isLimitNoted) return
    item.isLimitNoted = true
    this.opts.log.record(DecisionKinds.LIMIT_REACHED, { request: item.work.requestId, ...this.forecast.describeLimits(item.work) })
  }

  private noteWaiting (item: Waiting): void {
    const { generation, requestId, service } = item.work
    const weights = generation && nameWeights(generation.model, generation.adapter)
    const facts = { request: requestId, service: service.name, weights, reason: item.lastFailure, waiting: this.waiting.length }
    this.opts.log.record(DecisionKinds.REQUEST_WAITING, facts)
  }

  private askForWeights (item: Waiting, isMore: boolean): void {
    const { clock, residency } = this.opts
    if (!item.work.generation || clock.readTime() < item.askAgainAt) return
    item.askAgainAt = clock.readTime() + ASK_AGAIN_MS
    const { model, adapter } = item.work.generation
    const waitMs = item.candidate.latestAt - clock.readTime()
    void residency.requestWeights({ service: item.work.service.name, model, adapter, isMore, waitMs }).then((answer) => {
      if (!this.waiting.includes(item)) return
      item.needAnswer = answer
      item.answeredAt = clock.readTime()
      if (item.lastFailure === ChoiceFailures.NOT_RESIDENT) this.judgeWeights(item)
      else this.pump()
    })
  }
}

/** The client has a part of the answer. */
function hasBegun (work: RoutedWork): boolean {
  return work.stream.events > 0
}
