import { isHeterogeneous } from '@pulleystack/config.routes'
import type { Clock } from '@pulleystack/core.clock'
import type { Policy } from '@pulleystack/config.settings'
import { estimateLoadMs, type ResidencyClient, type WeightsAnswer } from '@pulleystack/placement.residency'
import type { Candidate } from '@pulleystack/routing.admission'
import { isOfVersion, type Backend, type BackendFleet } from '@pulleystack/routing.fleet'
import { findRequiredVersion } from './findRequiredVersion.js'
import { hasPartialAnswer, type RoutedWork } from './RoutedWork.js'
import { WeightsBound, WeightsRejections, type WeightsRejection } from './WeightsBound.js'

/** Interval at which a waiting request asks again for its weights. */
const REQUEST_INTERVAL_MS = 250
/** Shortest time to a second request, which a request with a short latency target needs to be rejected in time. */
const MIN_REQUEST_INTERVAL_MS = 50

export interface WeightsWaitOptions {
  clock: Clock
  fleet: BackendFleet
  residency: Pick<ResidencyClient, 'requestWeights'>
  policy: Policy
}

/** Why a request is not to wait for its weights, and the milliseconds until they could be loaded if that can be estimated. */
export interface WeightsVerdict {
  reason: WeightsRejection
  expectedMs: number | undefined
}

/** A request's wait for its weights: what was asked of the model placement, and its latest answer. All times are in milliseconds. */
export class WeightsWait {
  /** Monotonic time. */
  private nextRequestAt = -Infinity
  /** Latest answer of the model placement with its monotonic time; undefined before the first. */
  private latest: { answer: WeightsAnswer, at: number } | undefined

  /** Undefined where a request waits as long as a load could end in time. */
  private readonly bound: WeightsBound | undefined
  private hasRequested = false
  private cancelCheck = (): void => undefined

  constructor (private readonly opts: WeightsWaitOptions, private readonly work: RoutedWork, private readonly candidate: Candidate) {
    // A stream that may go on at one version has fewer servers to hope for, and its client can do more with an early refusal.
    const isBounded = this.requiredVersion !== undefined || (opts.policy.weightsBound && isHeterogeneous(work.service.serving))
    if (isBounded) this.bound = new WeightsBound(work.arrivedAt, work.route.targetLatencyMs)
  }

  private get requiredVersion (): string | undefined {
    return findRequiredVersion(this.opts.fleet, this.work)
  }

  /** Whether the request uses weights and no answer has arrived. */
  get isUnanswered (): boolean {
    return this.work.generation !== undefined && !this.latest
  }

  /** Whether a load is announced that ends before the request expires. */
  get isLoadComing (): boolean {
    if (!this.latest?.answer.coming) return false
    return this.latest.at + this.latest.answer.expectedMs <= this.candidate.expiresAt
  }

  /** Requests the weights, unless that was done a moment ago; calls `onAnswer` when the answer has been recorded. */
  request (isExtraCopy: boolean, onAnswer: () => void): void {
    const { clock, residency } = this.opts
    const { generation, service } = this.work
    if (!generation || clock.readTime() < this.nextRequestAt) return
    const now = clock.readTime()
    this.nextRequestAt = now + this.chooseIntervalMs()
    this.hasRequested = true
    const { model, adapter } = generation
    const { dueAt, expiresAt, priority } = this.candidate
    const isMore = isExtraCopy || this.hasFailedAtHolders()
    const softwareVersion = this.requiredVersion
    const request = { service: service.name, model, adapter, isMore, waitMs: expiresAt - now, ...softwareVersion !== undefined && { softwareVersion } }
    // An interrupted stream is not late before it expires.
    const dueMs = (softwareVersion === undefined ? dueAt : expiresAt) - now
    void residency.requestWeights({ ...request, requestId: this.work.requestId, dueMs, priority }).then((answer) => {
      this.recordAnswer(answer, isExtraCopy)
      onAnswer()
    })
  }

  /** Calls `check` when the weights are to be requested again, where the wait is bounded by the answers. */
  scheduleCheck (check: () => void): void {
    if (!this.bound) return
    this.stop()
    this.cancelCheck = this.opts.clock.setTimer(Math.max(1, this.nextRequestAt - this.opts.clock.readTime()), check)
  }

  /** Cancels the scheduled check. */
  stop (): void {
    this.cancelCheck()
  }

  /** Why the request is not to wait any longer; undefined while it may wait. */
  judge (): WeightsVerdict | undefined {
    const isPinned = this.requiredVersion !== undefined
    if (!this.latest || !this.opts.policy.waitEstimate || (hasPartialAnswer(this.work) && !isPinned)) return undefined
    const now = this.opts.clock.readTime()
    const { answer, at } = this.latest
    // Without an ordered load, the minimal duration of a load is a lower bound.
    const expectedMs = answer.coming ? answer.expectedMs : this.estimateEarliestMs(answer)
    if (isPinned && expectedMs === Infinity) return { reason: WeightsRejections.NOT_AT_VERSION, expectedMs: undefined }
    if (at + expectedMs > this.candidate.expiresAt) return { reason: WeightsRejections.LATE, expectedMs: at + expectedMs - now }
    const reason = this.bound?.judge(now)
    return reason && { reason, expectedMs: this.estimateEarliestMs(answer) || undefined }
  }

  private chooseIntervalMs (): number {
    if (!this.bound || this.hasRequested) return REQUEST_INTERVAL_MS
    return Math.min(REQUEST_INTERVAL_MS, Math.max(MIN_REQUEST_INTERVAL_MS, this.work.route.targetLatencyMs / 8))
  }

  private recordAnswer (answer: WeightsAnswer, isExtraCopy: boolean): void {
    const now = this.opts.clock.readTime()
    this.latest = { answer, at: now }
    // The answer about another copy says nothing on whether the weights are loaded once the present copies are gone.
    if (isExtraCopy) this.bound?.clear()
    else this.bound?.record(answer, now)
  }

  private estimateEarliestMs (answer: WeightsAnswer): number {
    const earliestMs = answer.coming ? undefined : answer.earliestMs
    return earliestMs ?? this.estimateLoadMs()
  }

  private estimateLoadMs (): number {
    const { generation, service } = this.work
    const servedModel = service.serving?.models.find((model) => model.name === generation?.model)
    const servers = this.listUsable()
    // If a server holds the model, only the adapter is missing, which loads quickly.
    if (!servedModel || servers.some((backend) => backend.hasWeights(servedModel.name))) return 0
    return estimateLoadMs(servers.map((backend) => backend.entry), servedModel)
  }

  /** Whether only servers that failed the request have the weights, at the one version that it may use: it then needs another copy there. */
  private hasFailedAtHolders (): boolean {
    const { generation, excluded } = this.work
    if (this.requiredVersion === undefined || !generation) return false
    const holders = this.listUsable().filter((backend) => backend.hasWeights(generation.model, generation.adapter))
    return holders.length > 0 && holders.every((backend) => excluded.has(backend.id))
  }

  private listUsable (): Backend[] {
    const { service, origin } = this.work
    return this.opts.fleet.list(service.name).filter(({ entry }) => !entry.draining && isOfVersion(entry, origin?.version))
  }
}
