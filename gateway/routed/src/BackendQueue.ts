import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { ResidencyClient } from '@pulleystack/placement.residency'
import { ChoiceFailures, chooseBackend, nameWeights, type Backend, type BackendChoice, type BackendFleet, type ChoiceFailure, type ServingFigures } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { RoutedWork } from './RoutedWork.js'

/** Share of a request's time that it may wait here for a place. */
const WAIT_SHARE = 0.4
const QUEUE_SHARE = 1.5
const RETRY_AFTER_SECONDS = 0.25
const MAX_WAITING = 400

/** The right to have one request at one backend server; must be ended. */
export class BackendPlace {
  private prefilling: number
  private ended = false

  constructor (readonly choice: BackendChoice, private readonly work: RoutedWork, private readonly onChange: (isOver: boolean) => void) {
    this.prefilling = Math.max(0, (work.generation?.promptTokens ?? 0) - choice.keptTokens)
    const { own } = choice.backend
    own.running++
    own.prefillTokens += this.prefilling
    own.cacheTokens += this.cacheTokens
    onChange(false)
  }

  get backend (): Backend {
    return this.choice.backend
  }

  /** The server has read the prompt. */
  notePrefilled (): void {
    if (this.prefilling === 0) return
    this.backend.own.prefillTokens -= this.prefilling
    this.prefilling = 0
    this.onChange(false)
  }

  end (): void {
    if (this.ended) return
    this.ended = true
    this.notePrefilled()
    this.backend.own.running--
    this.backend.own.cacheTokens -= this.cacheTokens
    this.onChange(true)
  }

  private get cacheTokens (): number {
    const { generation } = this.work
    return generation ? generation.promptTokens + generation.outputTokens : 0
  }
}

interface Waiting {
  work: RoutedWork
  settle: (place: BackendPlace) => void
  fail: (error: PulleystackError) => void
  /** Weights have been asked for, and are expected by then. */
  askedAt: number | undefined
  lastFailure: ChoiceFailure
}

export interface BackendQueueOptions {
  clock: Clock
  random: RandomSource
  fleet: BackendFleet
  residency: ResidencyClient
  log: DecisionLog
  dataHall: string
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

  /** Resolves with a place; rejects, always with `ran: no`, as soon as none can be had in time. */
  acquire (work: RoutedWork): Promise<BackendPlace> {
    if (this.waiting.length === 0) {
      const place = this.tryPlace(work)
      if (place instanceof BackendPlace) return Promise.resolve(place)
      if (place === ChoiceFailures.NO_BACKEND) return Promise.reject(createRefusal(place))
    }
    if (this.isClosed) return Promise.reject(createStopping())
    if (this.waiting.length >= MAX_WAITING) return Promise.reject(createRefusal(ChoiceFailures.FULL))
    return this.wait(work)
  }

  /** Refuses those who wait, and lets nobody wait any more; whoever finds a place at once still gets it. */
  close (): void {
    this.isClosed = true
    for (const item of [...this.waiting]) item.fail(createStopping())
  }

  /** Gives places that came free to those who wait. */
  pump (): void {
    for (const item of [...this.waiting]) {
      if (!this.waiting.includes(item)) continue
      const place = this.tryPlace(item.work)
      if (place instanceof BackendPlace) item.settle(place)
      else item.lastFailure = place
      if (place === ChoiceFailures.NO_BACKEND) item.fail(createRefusal(place))
      if (place === ChoiceFailures.NOT_RESIDENT) this.askForWeights(item, false)
      if (place === ChoiceFailures.FULL) this.askForWeights(item, true)
    }
  }

  private tryPlace (work: RoutedWork): BackendPlace | ChoiceFailure {
    const choice = chooseBackend({
      backends: this.opts.fleet.list(work.service.name),
      demand: { dataHall: this.opts.dataHall, excluded: work.excluded, generation: work.generation, queueShare: QUEUE_SHARE },
      figures: readFigures(work),
      random: this.opts.random,
      now: this.opts.clock.readTime(),
    })
    if (typeof choice === 'string') return choice
    const { generation } = work
    if (generation) this.opts.fleet.notePrefix(choice.backend, nameWeights(generation.model, generation.adapter), generation.parts)
    return new BackendPlace(choice, work, (isOver) => {
      this.opts.fleet.noteLoadChange()
      if (isOver) this.pump()
    })
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
      const item: Waiting = {
        work,
        askedAt: undefined,
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
      const cancel = clock.setTimer(findWaitMs(work, clock.readTime()), () => item.fail(createRefusal(item.lastFailure)))
      work.signal.addEventListener('abort', abandon, { once: true })
      this.insert(item)
      if (work.signal.aborted) abandon()
      else this.pump()
      if (this.waiting.includes(item)) this.noteWaiting(item)
    })
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
    if (item.askedAt !== undefined || !item.work.generation) return
    const { clock, residency } = this.opts
    item.askedAt = clock.readTime()
    const { model, adapter } = item.work.generation
    const waitMs = findWaitMs(item.work, clock.readTime())
    void residency.requestWeights({ service: item.work.service.name, model, adapter, isMore, waitMs }).then((answer) => {
      if (isMore) return
      if (!answer.coming) item.fail(new PulleystackError('NO_RUNNER', `Nobody loads ${nameWeights(model, adapter)}: ${answer.reason}`, { retryAfterSeconds: RETRY_AFTER_SECONDS }))
      else if (answer.expectedMs > waitMs) item.fail(new PulleystackError('NO_RUNNER', 'The model will be there too late', { retryAfterSeconds: answer.expectedMs / 1000 }))
      else this.pump()
    })
  }
}

/** Another instance may have a place; this one ends before it could finish the request. */
function createStopping (): PulleystackError {
  return new PulleystackError('INSTANCE_STOPPING', 'This instance ends before the request would get a place', { retryAfterSeconds: 0 })
}

function readFigures (work: RoutedWork): ServingFigures | undefined {
  return work.service.serving
}

function findWaitMs (work: RoutedWork, now: number): number {
  return Math.max(0, Math.min((work.deadline - work.arrivedAt) * WAIT_SHARE - (now - work.arrivedAt), work.deadline - now))
}

function compareUrgency (a: RoutedWork, b: RoutedWork): number {
  return a.route.priority - b.route.priority || a.deadline - b.deadline
}

function createRefusal (failure: ChoiceFailure): PulleystackError {
  const opts = { retryAfterSeconds: RETRY_AFTER_SECONDS }
  if (failure === ChoiceFailures.FULL) return new PulleystackError('OVERLOADED', 'All servers that could run the request are full', opts)
  return new PulleystackError('NO_RUNNER', `No server could run the request: ${failure}`, opts)
}
