import { OrderAnswers, type WeightsClient, type WeightsOrder, type WeightsState } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { UnansweredLoad } from './UnansweredLoads.js'

/** A state report read sooner after an order may not show its effect. */
const REPORT_LAG_MS = 160
/** Polling of a server's state slows down from `MIN_POLL_MS` to `MAX_POLL_MS`, since each poll has a price. */
const MIN_POLL_MS = 60
const MAX_POLL_MS = 400
const POLL_GROWTH = 1.5
/** Tolerance beyond the expected duration of an order. */
const SETTLE_GRACE_MS = 3_000
const MAX_SEND_ATTEMPTS = 3

/** Outcome of an order that was not rejected. */
export const SentOrders = {
  TAKEN: 'taken',
  /** The server was already in the requested state. */
  HOLDS: 'holds',
  /** The order may have been accepted; the server's state has to be read. */
  UNCERTAIN: 'uncertain',
} as const
export type SentOrder = typeof SentOrders[keyof typeof SentOrders]

/** Lease holder and fence that authorize an order. */
export interface OrderPermit {
  holder: string
  fence: number
}

export interface ServerOrdersOptions {
  clock: Clock
  weights: WeightsClient
  log: DecisionLog
  backendId: string
  address: string
  /** Undefined while this instance may not send orders. */
  readPermit: () => OrderPermit | undefined
  /** Monotonic time before which no order is sent, because of an earlier holder's recent orders. */
  notBefore: number
  /** Called for each load order that got no answer, with the sequence number that it expects. */
  onUnanswered?: (load: UnansweredLoad) => void
  /** Called with the sequence number of each report. */
  onSequence?: (sequence: number) => void
}

/**
 * Sends orders to one server, one at a time. Each order carries the sequence number that the server is expected to have, so that the server
 * rejects a delayed order and its memory can't be allocated twice. Once closed, it sends nothing and reads nothing, whatever its tasks wait for.
 */
export class ServerOrders {
  private sequence: number | undefined
  private lastSentAt = -Infinity
  private queue: Promise<unknown> = Promise.resolve()
  private pending = 0
  private hasClosed = false

  constructor (private readonly opts: ServerOrdersOptions) {}

  /** Monotonic time at which the latest order was sent. */
  get newestOrderAt (): number {
    return this.lastSentAt
  }

  /** Whether a task is running or queued. */
  get isBusy (): boolean {
    return this.pending > 0
  }

  get isClosed (): boolean {
    return this.hasClosed
  }

  /** Ends the use of the server: it may restart, or its orders are sent by another queue from now on. */
  close (): void {
    this.hasClosed = true
  }

  /** Runs a task after all earlier ones have ended. */
  enqueue<T> (task: () => Promise<T>): Promise<T> {
    this.pending++
    const running = this.queue.then(task).finally(() => {
      this.pending--
    })
    this.queue = running.catch(() => undefined)
    return running
  }

  /** Reads the server's state once it reflects this instance's orders; undefined when it can't be read. */
  async readSettled (): Promise<WeightsState | undefined> {
    const sinceOrderMs = this.opts.clock.readTime() - this.lastSentAt
    if (sinceOrderMs < REPORT_LAG_MS) await this.opts.clock.wait(REPORT_LAG_MS - sinceOrderMs)
    if (this.isClosed) return undefined
    const result = await this.opts.weights.readState({ address: this.opts.address, backendId: this.opts.backendId })
    if (result.isErr() || this.isClosed) return undefined
    this.opts.onSequence?.(result.value.sequence)
    this.sequence = result.value.sequence
    return result.value
  }

  /** Sends an order with the last known sequence number; undefined when it was rejected, or no permit or sequence number is available. */
  async send (action: WeightsOrder['action'], model: string, adapter: string | undefined): Promise<SentOrder | undefined> {
    const delayMs = this.opts.notBefore - this.opts.clock.readTime()
    if (delayMs > 0) await this.opts.clock.wait(delayMs)
    const permit = this.opts.readPermit()
    if (!permit || this.sequence === undefined || this.isClosed) return undefined
    const { log, backendId } = this.opts
    const order = { action, model, adapter, expectedSequence: this.sequence, ...permit }
    log.record(DecisionKinds.ORDER_SENT, { backend: backendId, action, model, adapter, sequence: this.sequence, fence: permit.fence })
    const outcome = await this.sendUntilAnswered(order)
    this.sequence = outcome === SentOrders.TAKEN ? this.sequence + 1 : undefined
    log.record(DecisionKinds.ORDER_SETTLED, { backend: backendId, action, model, adapter, answer: outcome ?? 'refused' })
    return outcome
  }

  // An order without an answer may still be accepted later. Repeated with the same sequence number, it is accepted at most once.
  private async sendUntilAnswered (order: WeightsOrder): Promise<SentOrder | undefined> {
    const { clock, weights, backendId, address } = this.opts
    for (let attempt = 1; ; attempt++) {
      this.lastSentAt = clock.readTime()
      const answer = await weights.sendOrder({ address, backendId }, order)
      if (answer.isOk() && answer.value === OrderAnswers.TAKEN) return SentOrders.TAKEN
      if (answer.isOk() && answer.value === OrderAnswers.HOLDS) return SentOrders.HOLDS
      // A conflict on a repeated order most likely means that an earlier copy was accepted.
      if (answer.isOk()) return attempt > 1 && answer.value === OrderAnswers.CONFLICT ? SentOrders.UNCERTAIN : undefined
      this.recordUnanswered(order)
      if (attempt >= MAX_SEND_ATTEMPTS || !this.opts.readPermit() || this.isClosed) return SentOrders.UNCERTAIN
    }
  }

  private recordUnanswered ({ action, model, adapter, expectedSequence }: WeightsOrder): void {
    if (action === 'load' && expectedSequence !== undefined) this.opts.onUnanswered?.({ model, adapter, sequence: expectedSequence })
  }

  /** Waits until the server is idle and its state satisfies `isReached`; undefined on timeout. */
  async waitFor (isReached: (state: WeightsState) => boolean, expectedMs: number, extraMs = SETTLE_GRACE_MS): Promise<WeightsState | undefined> {
    const { clock } = this.opts
    const until = clock.readTime() + expectedMs + extraMs
    await clock.wait(expectedMs)
    for (let pollMs = MIN_POLL_MS; clock.readTime() < until && !this.isClosed; pollMs = Math.min(MAX_POLL_MS, pollMs * POLL_GROWTH)) {
      const state = await this.readSettled()
      if (state && !state.busy && isReached(state)) return state
      await clock.wait(pollMs)
    }
    return undefined
  }
}
