import { randomUUID } from 'node:crypto'
import { OrderAnswers, type OrderAnswer, type WeightsClient, type WeightsOrder, type WeightsState } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { Ran, type PulleystackError } from '@pulleystack/core.errors'
import type { LeaseOrigin } from '@pulleystack/placement.ledger'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { OrderArrivals, OrderInTransit } from './OrderArrivals.js'
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
  /** How the lease was acquired. */
  origin: LeaseOrigin
  /** Milliseconds for which orders may be sent without another renewal; negative during an outage of the store. */
  leftMs: number
}

export interface ServerOrdersOptions {
  clock: Clock
  weights: WeightsClient
  log: DecisionLog
  backendId: string
  address: string
  /** Undefined while this instance may not send orders. */
  readPermit: () => OrderPermit | undefined
  /** Monotonic time before which no order is sent, because of an earlier holder's orders. */
  readNotBefore: () => number
  arrivals: OrderArrivals
  /** Called before a copy of an order is sent, and once it has arrived. */
  onArrivalChange?: () => void
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
    await this.waitForFormerOrders()
    const permit = this.opts.readPermit()
    if (!permit || this.sequence === undefined || this.isClosed) return undefined
    const order = { action, model, adapter, expectedSequence: this.sequence }
    const outcome = await this.sendUntilAnswered(order, permit)
    this.sequence = outcome === SentOrders.TAKEN ? this.sequence + 1 : undefined
    return outcome
  }

  /** Resolves once the server may be ordered as far as other holders' orders are concerned; more may be told of during the wait. */
  async waitForFormerOrders (): Promise<void> {
    const { clock, readNotBefore } = this.opts
    while (!this.isClosed) {
      const delayMs = readNotBefore() - clock.readTime()
      if (delayMs <= 0) return
      await clock.wait(delayMs)
    }
  }

  // An order without an answer may still be accepted later. Repeated with the same sequence number, it is accepted at most once.
  private async sendUntilAnswered (content: OrderContent, firstPermit: OrderPermit): Promise<SentOrder | undefined> {
    const beganAt = this.opts.clock.readTime()
    let permit: OrderPermit | undefined = firstPermit
    for (let copies = 1; ; copies++) {
      const order = { ...content, id: randomUUID(), holder: permit.holder, fence: permit.fence }
      const answer = await this.sendCopy(order, copies, permit)
      const mayRepeat = answer === undefined && copies < MAX_SEND_ATTEMPTS && await this.isStillAcceptable(content)
      permit = this.readCopyPermit()
      if (!permit || !mayRepeat) return this.settle(order, { copies, ms: this.opts.clock.readTime() - beganAt, answer })
    }
  }

  /** Whether the server answers and has not accepted a copy. A silent one would get all copies at once when it reads again. */
  private async isStillAcceptable ({ expectedSequence }: OrderContent): Promise<boolean> {
    const state = await this.readSettled()
    return state?.sequence === expectedSequence
  }

  /** Permit for a copy of an order that was decided on before; it doesn't wait for orders of other holders. */
  private readCopyPermit (): OrderPermit | undefined {
    const isHeldOff = this.opts.readNotBefore() > this.opts.clock.readTime()
    return isHeldOff || this.isClosed ? undefined : this.opts.readPermit()
  }

  /** Returns the server's answer; undefined without one. */
  private async sendCopy (order: WeightsOrder, copy: number, permit: OrderPermit): Promise<OrderAnswer | undefined> {
    const { clock, weights, backendId, address, log, arrivals } = this.opts
    const { id, action, model, adapter, expectedSequence: sequence, fence } = order
    this.lastSentAt = clock.readTime()
    const facts = { order: id, copy, backend: backendId, action, model, adapter, sequence, fence }
    log.record(DecisionKinds.ORDER_SENT, { ...facts, origin: permit.origin, permitMs: permit.leftMs })
    const inTransit = arrivals.begin(backendId)
    this.opts.onArrivalChange?.()
    const answer = await weights.sendOrder({ address, backendId }, order, () => this.readCopyPermit()?.fence === fence)
    if (answer.isErr()) {
      this.handleUnanswered(order, inTransit, answer.error)
      return undefined
    }
    arrivals.settle(inTransit)
    this.opts.onArrivalChange?.()
    return answer.value
  }

  private handleUnanswered (order: WeightsOrder, inTransit: OrderInTransit, error: PulleystackError): void {
    const { clock, log, backendId, arrivals } = this.opts
    const written = error.ran !== Ran.NO
    const ms = clock.readTime() - inTransit.sentAt
    log.record(DecisionKinds.ORDER_UNANSWERED, { order: order.id, backend: backendId, ms, written, reason: describeCause(error) })
    if (written) {
      this.recordUnanswered(order)
      return
    }
    arrivals.cancel(inTransit)
    this.opts.onArrivalChange?.()
  }

  private settle (order: WeightsOrder, { copies, ms, answer }: { copies: number, ms: number, answer: OrderAnswer | undefined }): SentOrder | undefined {
    const outcome = judgeAnswer(answer, copies)
    const { id, action, model, adapter } = order
    this.opts.log.record(DecisionKinds.ORDER_SETTLED, { order: id, copies, ms, backend: this.opts.backendId, action, model, adapter, answer: outcome ?? 'refused' })
    return outcome
  }

  private recordUnanswered ({ action, model, adapter, expectedSequence }: WeightsOrder): void {
    if (action === 'load') this.opts.onUnanswered?.({ model, adapter, sequence: expectedSequence })
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

/** What an order asks for, without the sender's permit. */
type OrderContent = Pick<WeightsOrder, 'action' | 'model' | 'adapter' | 'expectedSequence'>

function judgeAnswer (answer: OrderAnswer | undefined, copies: number): SentOrder | undefined {
  if (answer === undefined) return SentOrders.UNCERTAIN
  if (answer === OrderAnswers.TAKEN) return SentOrders.TAKEN
  if (answer === OrderAnswers.HOLDS) return SentOrders.HOLDS
  // A conflict on a repeated order most likely means that an earlier copy was accepted.
  return copies > 1 && answer === OrderAnswers.CONFLICT ? SentOrders.UNCERTAIN : undefined
}

function describeCause ({ message, cause }: PulleystackError): string {
  return cause instanceof Error ? cause.message : message
}
