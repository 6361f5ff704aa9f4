import type { WeightsAnswer } from '@pulleystack/placement.residency'

/** Why a request is not to wait for its weights any longer. */
export const WeightsRejections = {
  /** The weights are expected after the request expires. */
  LATE: 'late',
  /** No load is planned. */
  NOT_PLANNED: 'not-planned',
  /** An announced load is not complete long after its expected time. */
  OVERDUE: 'overdue',
  /** No server of the version that began the stream has the weights or loads them. */
  NOT_AT_VERSION: 'not-at-version',
  /** An announced load is not in progress any more, and no other one replaces it. */
  CANCELLED: 'cancelled',
} as const
export type WeightsRejection = typeof WeightsRejections[keyof typeof WeightsRejections]

/** One answer may precede the plan that counts the request. */
const MIN_REFUSALS = 2
/** Share of the latency target within which a request that can't be served is to be rejected. */
const DECISION_SHARE = 1 / 8
/** Expected times are estimates; a load that is later than this has most likely failed. */
const OVERDUE_MS = 1_500

/** Decides from the answers of the model placement whether a request waits for its weights in vain. All times are monotonic milliseconds. */
export class WeightsBound {
  private readonly decideAt: number
  /** Answers in a row that no load is planned. */
  private refusals = 0
  /** When the announced load is expected to be complete; undefined when none was announced. */
  private expectedAt: number | undefined

  constructor (arrivedAt: number, targetMs: number) {
    this.decideAt = arrivedAt + targetMs * DECISION_SHARE
  }

  /** Records an answer about the first copy of the weights. */
  record (answer: WeightsAnswer, now: number): void {
    if (!answer.coming) {
      if (!answer.isUndecided) this.refusals++
      return
    }
    this.refusals = 0
    // An overdue load is announced with 0 ms again and again, which is no new expectation.
    if (answer.expectedMs > 0 || this.expectedAt === undefined) this.expectedAt = now + answer.expectedMs
  }

  /** Forgets the answers, when the request waits for something else. */
  clear (): void {
    this.refusals = 0
    this.expectedAt = undefined
  }

  /** Why the request waits in vain; undefined while it may wait. */
  judge (now: number): WeightsRejection | undefined {
    const isRefused = this.refusals >= MIN_REFUSALS
    if (isRefused && this.expectedAt !== undefined) return WeightsRejections.CANCELLED
    if (isRefused && now >= this.decideAt) return WeightsRejections.NOT_PLANNED
    if (this.expectedAt !== undefined && now >= this.expectedAt + OVERDUE_MS) return WeightsRejections.OVERDUE
    return undefined
  }
}
