import type { Clock } from '@pulleystack/core.clock'
import type { WeightsRequest } from './ResidencyClient.js'
import type { WaitingStake } from './WaitingStake.js'

/** Bounds the memory for waiting requests of one service. */
const MAX_STAKES = 2_000
/** Waiting requests ask again every 250 ms, so that one lost message doesn't remove a request that still waits. */
const STAKE_MAX_AGE_MS = 600

interface RecordedStake {
  /** Monotonic times in milliseconds. */
  recordedAt: number
  dueAt: number
  expiresAt: number
  weight: number
}

/** Requests of one service that wait for models, as told by the instances where they wait. */
export class WaitingStakes {
  /** By model and request id. */
  private readonly byModel = new Map<string, Map<string, RecordedStake>>()
  private count = 0

  constructor (private readonly clock: Clock) {}

  /** Number of recorded requests, including expired ones that were not dropped yet. */
  get size (): number {
    return this.count
  }

  /** Records a waiting request. Requests without an id, from instances of an older version, are ignored, as are new ones beyond the limit. */
  record ({ requestId, model, waitMs, dueMs = 0, priority = 0 }: WeightsRequest): void {
    if (requestId === undefined || ![waitMs, dueMs, priority].every(Number.isFinite)) return
    const stakes = this.byModel.get(model) ?? new Map<string, RecordedStake>()
    const isNew = !stakes.has(requestId)
    if (isNew && this.count >= MAX_STAKES) this.dropExpired()
    if (isNew && this.count >= MAX_STAKES) return
    const now = this.clock.readTime()
    stakes.set(requestId, { recordedAt: now, dueAt: now + dueMs, expiresAt: now + waitMs, weight: 1 / (1 + Math.max(0, priority) / 2) })
    this.byModel.set(model, stakes)
    if (isNew) this.count++
  }

  /** Removes a request that doesn't wait for its model any more. */
  remove ({ requestId, model }: Pick<WeightsRequest, 'requestId' | 'model'>): void {
    const stakes = this.byModel.get(model)
    if (requestId === undefined || !stakes?.delete(requestId)) return
    this.count--
    if (stakes.size === 0) this.byModel.delete(model)
  }

  /** Requests that wait for a model and can still be served. */
  list (model: string): WaitingStake[] {
    const now = this.clock.readTime()
    this.dropExpiredOf(model, now)
    return [...this.byModel.get(model)?.values() ?? []].map(({ dueAt, expiresAt, weight }) => ({ dueMs: dueAt - now, expiresMs: expiresAt - now, weight }))
  }

  private dropExpired (): void {
    const now = this.clock.readTime()
    for (const model of [...this.byModel.keys()]) this.dropExpiredOf(model, now)
  }

  private dropExpiredOf (model: string, now: number): void {
    for (const [requestId, { recordedAt, expiresAt }] of this.byModel.get(model) ?? []) {
      if (now - recordedAt >= STAKE_MAX_AGE_MS || now >= expiresAt) this.remove({ requestId, model })
    }
  }
}
