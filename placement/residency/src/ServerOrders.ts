import { OrderAnswers, type WeightsClient, type WeightsOrder, type WeightsState } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'

/** Reports lag by some hundred milliseconds; one read sooner after an order may not show it. */
const REPORT_LAG_MS = 160
/** First pause between two looks at a server's state, and the longest: what takes long is looked at less often, since each look has a price. */
const POLL_MS = 60
const MAX_POLL_MS = 400
const POLL_GROWTH = 1.5
/** What was ordered may take so much longer than expected. */
const SETTLE_EXTRA_MS = 3_000
const MAX_SENDS = 3

/** What became of an order that was not refused. */
export const SentOrders = {
  TAKEN: 'taken',
  /** What it asked for was so already. */
  HOLDS: 'holds',
  /** It may have been taken; the server's own state tells. */
  UNCERTAIN: 'uncertain',
} as const
export type SentOrder = typeof SentOrders[keyof typeof SentOrders]

/** The right to order, as of now. */
export interface OrderRight {
  holder: string
  fence: number
}

export interface ServerOrdersOptions {
  clock: Clock
  weights: WeightsClient
  log: DecisionLog
  backendId: string
  address: string
  /** Undefined while this instance may not order. */
  readRight: () => OrderRight | undefined
  /** Monotone time before which an earlier holder's orders are too recent for one of this instance. */
  notBefore: number
}

/**
 * Orders to one server, one after the other. Each names the sequence that the server must still have, so that an order
 * carried out late, after another, is refused by the server itself and memory can't be promised twice.
 */
export class ServerOrders {
  private sequence: number | undefined
  private orderedAt = -Infinity
  private queue: Promise<unknown> = Promise.resolve()
  private pending = 0

  constructor (private readonly opts: ServerOrdersOptions) {}

  /** Monotone time of the newest order. */
  get newestOrderAt (): number {
    return this.orderedAt
  }

  /** An order is under way or waits. */
  get isBusy (): boolean {
    return this.pending > 0
  }

  /** Runs a task when all earlier ones have ended. */
  enqueue<T> (task: () => Promise<T>): Promise<T> {
    this.pending++
    const running = this.queue.then(task).finally(() => {
      this.pending--
    })
    this.queue = running.catch(() => undefined)
    return running
  }

  /** The server's state with every order of this instance in it; undefined when it can't be read. */
  async readSettled (): Promise<WeightsState | undefined> {
    const sinceOrder = this.opts.clock.readTime() - this.orderedAt
    if (sinceOrder < REPORT_LAG_MS) await this.opts.clock.wait(REPORT_LAG_MS - sinceOrder)
    const read = await this.opts.weights.readState({ address: this.opts.address, backendId: this.opts.backendId })
    if (read.isErr()) return undefined
    this.sequence = read.value.sequence
    return read.value
  }

  /** Sends one order at the sequence last known; undefined when it was refused or the right to order has gone. */
  async send (action: WeightsOrder['action'], model: string, adapter: string | undefined): Promise<SentOrder | undefined> {
    const heldMs = this.opts.notBefore - this.opts.clock.readTime()
    if (heldMs > 0) await this.opts.clock.wait(heldMs)
    const right = this.opts.readRight()
    if (!right || this.sequence === undefined) return undefined
    const { log, backendId } = this.opts
    const order = { action, model, adapter, expectedSequence: this.sequence, ...right }
    log.record(DecisionKinds.ORDER_SENT, { backend: backendId, action, model, adapter, sequence: this.sequence, fence: right.fence })
    const outcome = await this.sendUntilAnswered(order)
    this.sequence = outcome === SentOrders.TAKEN ? this.sequence + 1 : undefined
    log.record(DecisionKinds.ORDER_SETTLED, { backend: backendId, action, model, adapter, answer: outcome ?? 'refused' })
    return outcome
  }

  // An order whose answer was lost may still be taken, now or late; sent again with the same sequence it is taken once at most.
  private async sendUntilAnswered (order: WeightsOrder): Promise<SentOrder | undefined> {
    const { clock, weights, backendId, address } = this.opts
    for (let tries = 1; ; tries++) {
      this.orderedAt = clock.readTime()
      const answer = await weights.sendOrder({ address, backendId }, order)
      if (answer.isOk() && answer.value === OrderAnswers.TAKEN) return SentOrders.TAKEN
      if (answer.isOk() && answer.value === OrderAnswers.HOLDS) return SentOrders.HOLDS
      // A conflict on a repeated order most likely means that its first copy was taken.
      if (answer.isOk()) return tries > 1 && answer.value === OrderAnswers.CONFLICT ? SentOrders.UNCERTAIN : undefined
      if (tries >= MAX_SENDS || !this.opts.readRight()) return SentOrders.UNCERTAIN
    }
  }

  /** Waits until the server's state is as asked; undefined when it does not become so in time. */
  async waitFor (isReached: (state: WeightsState) => boolean, expectedMs: number, extraMs = SETTLE_EXTRA_MS): Promise<WeightsState | undefined> {
    const { clock } = this.opts
    const until = clock.readTime() + expectedMs + extraMs
    await clock.wait(expectedMs)
    for (let pollMs = POLL_MS; clock.readTime() < until; pollMs = Math.min(MAX_POLL_MS, pollMs * POLL_GROWTH)) {
      const state = await this.readSettled()
      if (state && !state.busy && isReached(state)) return state
      await clock.wait(pollMs)
    }
    return undefined
  }
}
