import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { ResidencyClient } from '@pulleystack/placement.residency'
import { compareUrgency, isWithinTarget, judgeWait, type WaitEstimate } from '@pulleystack/routing.admission'
import { ChoiceFailures, nameWeights, type BackendChoice, type ChoiceFailure } from '@pulleystack/routing.fleet'
import type { ServerPermits } from '@pulleystack/routing.permits'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { BackendSlot, SlotChanges } from './BackendSlot.js'
import { createRejection, createStoppingError } from './createRejection.js'
import { findPaces } from './findPaces.js'
import { SlotForecast, buildQueueKey } from './SlotForecast.js'
import { mustBeFinished, type RoutedWork } from './RoutedWork.js'
import { PermitDemand } from './PermitDemand.js'
import { mustReserve } from './mustReserve.js'
import { ServerChooser, type ChooseOptions, type ServerChooserOptions } from './ServerChooser.js'
import type { VersionWatch, WaitingRequest } from './WaitingRequest.js'
import { WeightsWait } from './WeightsWait.js'

/** Retry delay for clients when no wait can be estimated. */
const DEFAULT_RETRY_AFTER_SECONDS = 1
/** Bounds the cost of a pass over the queue, which must be shorter than the time between two passes. */
const MAX_WAITING_REQUESTS = 400
/** Largest random extension of a retry delay, as a share of it; keeps clients from retrying all at once. */
const RETRY_JITTER = 0.5

export interface BackendQueueOptions extends ServerChooserOptions {
  /** Undefined where servers announce no rate limits. */
  permits?: Pick<ServerPermits, 'request' | 'release'>
  residency: ResidencyClient
  log: DecisionLog
}

/** Assigns slots at backend servers. Requests wait here, most urgent first, rather than in the queues of the servers. */
export class BackendQueue {
  private waiting: WaitingRequest[] = []
  private isClosed = false
  private readonly forecast: SlotForecast
  private readonly chooser: ServerChooser
  private readonly permitDemand: PermitDemand
  /** Next scheduled pass over the queue, with its monotonic time in milliseconds. */
  private nextPass: { at: number, cancel: () => void } | undefined

  constructor (private readonly opts: BackendQueueOptions) {
    this.forecast = new SlotForecast({ ...opts, findPaces: (service) => findPaces(opts, service) })
    this.chooser = new ServerChooser(opts)
    this.permitDemand = new PermitDemand(opts.permits)
    opts.fleet.changes.subscribe(() => this.assignSlots())
  }

  get size (): number {
    return this.waiting.length
  }

  isWaiting (work: RoutedWork): boolean {
    return this.waiting.some((item) => item.work === work)
  }

  /** Resolves with a slot; rejects, always with `ran: no`, as soon as none is expected in time. A repeated call of one request isn't a new arrival. */
  acquire (work: RoutedWork, { isRepeated = false } = {}): Promise<BackendSlot> {
    if (!isRepeated) this.forecast.recordArrival(work)
    if (this.waiting.length === 0) {
      const slot = this.tryAcquire(work)
      // Permits requested for a better, rate-limited server can serve the next request.
      if (slot instanceof BackendSlot) this.permitDemand.request()
      if (slot instanceof BackendSlot) return Promise.resolve(slot)
      if (typeof slot === 'string' && isImmediate(slot)) return Promise.reject(this.createRejection(work, slot))
    }
    if (this.isClosed && !mustBeFinished(work)) return Promise.reject(createStoppingError())
    if (this.waiting.length >= MAX_WAITING_REQUESTS) return Promise.reject(this.createRejection(work, ChoiceFailures.FULL))
    return this.wait(work)
  }

  /** Records that the server will process the prompt; only once it is certain that the request is sent there. */
  recordPrefix ({ backend }: BackendChoice, { generation }: RoutedWork): void {
    if (generation) this.opts.fleet.recordPrefix(backend, nameWeights(generation.model, generation.adapter), generation.parts)
  }

  /** Errors: NO_RUNNER if the request continues a stream at whose version no server is left. */
  checkVersion (work: RoutedWork): void {
    if (this.hasLostVersion(work)) throw this.createRejection(work, ChoiceFailures.VERSION_GONE)
  }

  /** Watches the version of the stream that the request continues; undefined if it continues none. */
  watchVersion (work: RoutedWork): VersionWatch | undefined {
    if (!work.origin) return undefined
    const lost = new AbortController()
    const subscription = this.opts.fleet.changes.subscribe(() => {
      if (!lost.signal.aborted && this.hasLostVersion(work)) lost.abort(this.createRejection(work, ChoiceFailures.VERSION_GONE))
    })
    return { lost: lost.signal, end: () => subscription.unsubscribe() }
  }

  private hasLostVersion (work: RoutedWork): boolean {
    return work.origin !== undefined && this.chooser.choose(work) === ChoiceFailures.VERSION_GONE
  }

  /** Whether requests of the same kind wait for a slot, here or at other instances. */
  isSlotAwaited (work: RoutedWork): boolean {
    const key = buildQueueKey(work)
    return this.opts.fleet.waiting.countAtPeers(key) > 0 || this.waiting.some((item) => buildQueueKey(item.work) === key)
  }

  /** Whether a server other than that of `slot` has a free slot for the request. */
  hasSlotElsewhere (work: RoutedWork, slot: BackendSlot): boolean {
    return typeof this.chooser.choose(work, chooseElsewhere(work, slot)) !== 'string'
  }

  /** Acquires a free slot at a server other than that of `slot`; undefined if there is none. */
  acquireElsewhere (work: RoutedWork, slot: BackendSlot): BackendSlot | undefined {
    const other = this.tryAcquire(work, chooseElsewhere(work, slot))
    return other instanceof BackendSlot ? other : undefined
  }

  /**
   * Rejects waiting requests and stops queueing new ones; slots that are free at once are still assigned. Requests that must be finished keep waiting for
   * a server that can do so.
   */
  close (): void {
    this.isClosed = true
    for (const item of this.waiting.filter(({ work }) => !mustBeFinished(work))) item.reject(createStoppingError())
  }

  /** Assigns free slots to waiting requests, and rejects requests for which none is expected in time. */
  assignSlots (): void {
    this.rankWaiting()
    for (const item of [...this.waiting]) {
      if (!this.waiting.includes(item)) continue
      const slot = this.mustYield(item) ? ChoiceFailures.FULL : this.tryAcquire(item.work)
      if (slot instanceof BackendSlot) item.resolve(slot)
      else this.handleFailure(item, slot)
    }
    this.permitDemand.request()
  }

  /** An overdue request leaves slots to requests at other instances that can still meet their latency targets. */
  private mustYield ({ work, candidate }: WaitingRequest): boolean {
    if (!this.opts.policy.timelyFirst || mustBeFinished(work)) return false
    if (isWithinTarget(candidate, this.opts.clock.readTime()) || this.opts.fleet.waiting.countAtPeers(buildQueueKey(work)) === 0) return false
    return typeof this.chooser.choose(work) !== 'string'
  }

  private handleFailure (item: WaitingRequest, failure: ChoiceFailure): void {
    item.lastFailure = failure
    this.schedulePassAfterDenial(item.work)
    if (isImmediate(failure)) item.reject(this.createRejection(item.work, failure))
    else if (failure === ChoiceFailures.NOT_RESIDENT) this.checkWeights(item)
    else if (failure === ChoiceFailures.FULL) this.checkSlotWait(item, () => this.forecast.estimateSlotWait(item.work, this.countAhead(item)))
    else if (failure === ChoiceFailures.BACKING_OFF) this.checkBackoff(item)
    else if (failure === ChoiceFailures.LIMITED) this.checkLimits(item)
    else this.checkWait(item, this.forecast.estimatePrefillWait(item.work, this.countAhead(item)))
  }

  /** Last chance to meet the latency target or the deadline: exceeding the prefill limit is better than missing them. */
  private tryIgnoringPrefillLimit (item: WaitingRequest): void {
    const slot = item.lastFailure === ChoiceFailures.PREFILLING ? this.tryAcquire(item.work, { prefillLimit: Infinity }) : undefined
    if (slot instanceof BackendSlot) item.resolve(slot)
  }

  private tryAcquire (work: RoutedWork, opts: Omit<ChooseOptions, 'onPermitNeeded'> = {}): BackendSlot | ChoiceFailure {
    const choice = this.chooser.choose(work, { ...opts, onPermitNeeded: (backend) => this.permitDemand.add(backend) })
    if (typeof choice === 'string') return choice
    if (!mustReserve(work, this.opts.policy, this.isBrittle(work))) this.recordPrefix(choice, work)
    const stopTracking = this.forecast.recordAcquired(choice.backend.id)
    const slot: BackendSlot = new BackendSlot(choice, work, this.opts.clock, (change) => {
      this.opts.fleet.announceLoadChange()
      if (change === SlotChanges.ACQUIRED) return
      if (change === SlotChanges.UNSENT) this.permitDemand.release(choice.backend)
      if (change === SlotChanges.RELEASED || change === SlotChanges.DENIED) stopTracking()
      // Nothing became free for other requests.
      if (change === SlotChanges.DENIED) return
      if (change === SlotChanges.RELEASED) this.noteEnded(slot, work)
      this.assignSlots()
    })
    if (this.isBrittle(work)) slot.beginReservation()
    return slot
  }

  /** Whether servers of the request's service get no more than they have slots for. */
  isBrittle (work: RoutedWork): boolean {
    return this.chooser.isBrittle(work)
  }

  private noteEnded (slot: BackendSlot, work: RoutedWork): void {
    const times = slot.readTimes()
    if (!times) return
    const { generation, service } = work
    const readTokens = Math.max(0, (generation?.promptTokens ?? 0) - slot.choice.cachedTokens)
    this.forecast.recordServed(work, { ...times, readTokens })
    if (!generation) return
    this.notePause(slot, work)
    const { model, adapter } = generation
    this.opts.residency.recordEnded({ service: service.name, model, adapter }, { heldMs: times.heldMs, readTokens })
  }

  /** Skips resumed streams: their longest pause may be due to the failure of the former server. */
  private notePause (slot: BackendSlot, { route, stream, excluded }: RoutedWork): void {
    if (route.longestPauseMs === undefined || stream.events < 2 || excluded.size > 0) return
    this.opts.fleet.recordPause(slot.backend, stream.longestPauseMs / route.longestPauseMs, this.opts.clock.readTime())
  }

  private wait (work: RoutedWork): Promise<BackendSlot> {
    const { clock, fleet, policy } = this.opts
    return new Promise((resolve, reject) => {
      const leaveQueue = (): void => {
        cancels.forEach((cancel) => cancel())
        work.signal.removeEventListener('abort', handleAbort)
        this.waiting = this.waiting.filter((other) => other !== item)
        removeTally()
        item.weights.stop()
        fleet.announceLoadChange()
      }
      const candidate = this.forecast.createCandidate(work, policy.patienceBound)
      let removeTally = isWithinTarget(candidate, clock.readTime()) ? fleet.waiting.add(buildQueueKey(work)) : () => undefined
      const item: WaitingRequest = {
        work,
        candidate,
        weights: new WeightsWait(this.opts, work, candidate),
        lastFailure: ChoiceFailures.FULL,
        isLimitLogged: false,
        resolve: (slot) => {
          leaveQueue()
          resolve(slot)
        },
        reject: (error) => {
          leaveQueue()
          reject(error)
        },
      }
      const handleAbort = (): void => item.reject(
        new PulleystackError('CALLER_GONE', 'The client closed the connection while the request was queued', { ran: Ran.NO }),
      )
      const setTimer = (at: number, task: () => void): (() => void) => clock.setTimer(Math.max(0, at - clock.readTime()), task)
      const cancels = [
        setTimer(candidate.dueAt, () => {
          removeTally()
          removeTally = () => undefined
          // Notifies other instances, whose requests would otherwise keep yielding to this one.
          fleet.announceLoadChange()
          this.tryIgnoringPrefillLimit(item)
        }),
        setTimer(candidate.expiresAt, () => {
          this.tryIgnoringPrefillLimit(item)
          if (this.waiting.includes(item)) item.reject(this.createRejection(work, item.lastFailure))
        }),
      ]
      work.signal.addEventListener('abort', handleAbort, { once: true })
      this.waiting.push(item)
      fleet.announceLoadChange()
      if (work.signal.aborted) handleAbort()
      else this.assignSlots()
      if (this.waiting.includes(item)) this.recordWaiting(item)
    })
  }

  /** The order changes over time as requests become overdue. */
  private rankWaiting (): void {
    const now = this.opts.clock.readTime()
    if (this.opts.policy.timelyFirst) this.waiting.sort((a, b) => compareUrgency(a.candidate, b.candidate, now))
    else this.waiting.sort((a, b) => a.candidate.priority - b.candidate.priority || a.work.arrivedAt - b.work.arrivedAt)
  }

  /** Rejects a request that cannot wait until the first paused server resumes; otherwise schedules a pass for then. */
  private checkBackoff (item: WaitingRequest): void {
    const leftMs = this.forecast.readBackoffMs(item.work)
    if (leftMs === undefined) return
    this.checkSlotWait(item, () => ({ withinTargetMs: leftMs, overdueMs: leftMs }))
    if (this.waiting.includes(item)) this.schedulePass(leftMs)
  }

  /** Rejects a request that cannot wait for a permit, once no request for permits is unanswered. */
  private checkLimits (item: WaitingRequest): void {
    this.permitDemand.request()
    this.requestWeights(item, true)
    if (this.forecast.isAwaitingPermits(item.work)) return
    this.recordLimits(item)
    this.checkSlotWait(item, () => this.forecast.estimatePermitWait(item.work, this.countAhead(item)))
  }

  /** Schedules a pass over the queue in `ms`, unless an earlier one is scheduled. */
  schedulePass (ms: number): void {
    const { clock } = this.opts
    const at = clock.readTime() + ms
    if (this.nextPass && this.nextPass.at <= at) return
    this.nextPass?.cancel()
    const cancel = clock.setTimer(ms, () => {
      this.nextPass = undefined
      this.assignSlots()
    })
    this.nextPass = { at, cancel }
  }

  /** Schedules a pass for when the next server that has no room for the request may have some. */
  private schedulePassAfterDenial ({ deniedUntil }: RoutedWork): void {
    const now = this.opts.clock.readTime()
    const times = [...deniedUntil.values()].filter((at) => at > now)
    if (times.length > 0) this.schedulePass(Math.min(...times) - now)
  }

  /** Rejects a request for which neither a slot nor another copy of its weights is expected in time. */
  private checkSlotWait (item: WaitingRequest, estimate: () => WaitEstimate | undefined): void {
    this.requestWeights(item, true)
    if (item.weights.isUnanswered || item.weights.isLoadComing) return
    this.checkWait(item, estimate())
  }

  private checkWait (item: WaitingRequest, estimate: WaitEstimate | undefined): void {
    const { work, candidate, lastFailure } = item
    if (!estimate || !this.opts.policy.waitEstimate || mustBeFinished(work)) return
    const verdict = judgeWait(candidate, estimate, this.opts.clock.readTime())
    if (!verdict.mayWait) item.reject(this.createRejection(work, lastFailure, verdict.expectedMs))
  }

  private countAhead (item: WaitingRequest): number {
    const key = buildQueueKey(item.work)
    let ahead = 0
    for (const other of this.waiting) {
      if (other === item) break
      if (buildQueueKey(other.work) === key) ahead++
    }
    return ahead
  }

  /** Requests the weights of a request that no server has, repeatedly where the answers bound its wait. */
  private checkWeights (item: WaitingRequest): void {
    if (!this.waiting.includes(item) || item.lastFailure !== ChoiceFailures.NOT_RESIDENT) return
    this.requestWeights(item, false)
    item.weights.scheduleCheck(() => {
      this.checkWeightsWait(item)
      this.checkWeights(item)
    })
  }

  /** Rejects a request whose weights cannot be loaded in time. */
  private checkWeightsWait (item: WaitingRequest): void {
    const verdict = item.lastFailure === ChoiceFailures.NOT_RESIDENT ? item.weights.judge() : undefined
    if (!verdict) return
    const { work } = item
    this.opts.log.record(DecisionKinds.WEIGHTS_REJECTED, {
      request: work.requestId,
      model: work.generation?.model,
      reason: verdict.reason,
      waitedMs: Math.round(this.opts.clock.readTime() - work.arrivedAt),
      ...verdict.expectedMs !== undefined && Number.isFinite(verdict.expectedMs) && { expectedMs: Math.round(verdict.expectedMs) },
    })
    item.reject(new PulleystackError('NO_RUNNER', 'The model will not be loaded in time', {
      retryAfterSeconds: this.computeRetryAfterSeconds(work, verdict.expectedMs),
    }))
  }

  private createRejection (work: RoutedWork, failure: ChoiceFailure, expectedMs?: number): PulleystackError {
    return createRejection(failure, this.computeRetryAfterSeconds(work, expectedMs), work.origin?.version)
  }

  /** Computes the retry delay: until a slot is expected, at most until the deadline, plus jitter. */
  private computeRetryAfterSeconds (work: RoutedWork, expectedMs = DEFAULT_RETRY_AFTER_SECONDS * 1_000): number {
    const leftMs = Math.max(0, work.deadline - this.opts.clock.readTime())
    return Math.min(expectedMs, leftMs) / 1_000 * (1 + this.opts.random.readFraction() * RETRY_JITTER)
  }

  private recordLimits (item: WaitingRequest): void {
    if (item.isLimitLogged) return
    item.isLimitLogged = true
    this.opts.log.record(DecisionKinds.LIMIT_REACHED, { request: item.work.requestId, ...this.forecast.describeLimits(item.work) })
  }

  private recordWaiting (item: WaitingRequest): void {
    const { generation, requestId, service } = item.work
    const weights = generation && nameWeights(generation.model, generation.adapter)
    const facts = { request: requestId, service: service.name, weights, reason: item.lastFailure, waiting: this.waiting.length }
    this.opts.log.record(DecisionKinds.REQUEST_WAITING, facts)
  }

  private requestWeights (item: WaitingRequest, isExtraCopy: boolean): void {
    item.weights.request(isExtraCopy, () => {
      if (!this.waiting.includes(item)) return
      if (item.lastFailure === ChoiceFailures.NOT_RESIDENT) this.checkWeightsWait(item)
      else this.assignSlots()
    })
  }
}

/** The request would have to wait in the queue of a server that has no free slot, where it may be rejected. */
function chooseElsewhere (work: RoutedWork, { backend }: BackendSlot): ChooseOptions {
  return { excluded: new Set([...work.excluded, backend.id]), overcommitShare: 0 }
}

/** Whether waiting here would not help. */
function isImmediate (failure: ChoiceFailure): boolean {
  return failure === ChoiceFailures.NO_BACKEND || failure === ChoiceFailures.PATH_LOST || failure === ChoiceFailures.VERSION_GONE
}
