import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { OrderAnswers, WeightsClient, type OrderAnswer, type WeightsState } from '@pulleystack/backend.interfaces'
import { ManualClock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { err, ok, type Result } from 'neverthrow'
import { OrderArrivals, SentOrders, ServerOrders, type OrderPermit, type SentOrder } from '../src/index.js'

const ANSWER_MS = 350
const PERMIT: OrderPermit = { holder: 'h', fence: 1, origin: 'expired', leftMs: 1_000 }

/** A server that loses the answers to its orders; it may also fall silent after the first order. */
class LossyServer extends WeightsClient {
  sent = 0
  answersReports = true
  /** Number of orders that get no answer. */
  lost = Infinity

  constructor (private readonly clock: ManualClock) {
    super()
  }

  override async readState (): Promise<Result<WeightsState, PulleystackError>> {
    if (!this.answersReports && this.sent > 0) return err(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'No response'))
    return ok({ sequence: 0, busy: false, models: [], loadingAdapters: [], inMemory: [], onDisk: [] })
  }

  override async sendOrder (): Promise<Result<OrderAnswer, PulleystackError>> {
    this.sent++
    if (this.sent > this.lost) return ok(OrderAnswers.TAKEN)
    await this.clock.wait(ANSWER_MS)
    return err(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'No response'))
  }
}

describe('orders to one server', () => {
  let clock: ManualClock
  let server: LossyServer
  let arrivals: OrderArrivals
  let permit: OrderPermit | undefined
  let outcome: SentOrder | undefined

  const send = async (): Promise<void> => {
    const opts = { clock, weights: server, log: new NullDecisionLog(), backendId: 's1', address: '127.0.0.1:1', arrivals }
    const orders = new ServerOrders({ ...opts, readPermit: () => permit, readNotBefore: () => arrivals.readOthers('s1') })
    await orders.readSettled()
    void orders.send('load', 'm', undefined).then((sent) => outcome = sent)
    await clock.advance(100)
  }

  beforeEach(() => {
    clock = new ManualClock()
    server = new LossyServer(clock)
    arrivals = new OrderArrivals(clock, 'h@1')
    permit = PERMIT
    outcome = undefined
  })

  describe('without an answer', () => {
    // Guards against copies that a silent server reads all at once, long after they were given up (ONE).
    it('are not repeated at a server that has fallen silent', async () => {
      server.answersReports = false
      await send()
      await clock.advance(5_000)
      assert.equal(server.sent, 1)
      assert.equal(outcome, SentOrders.UNCERTAIN)
    })

    it('are repeated at a server that answers and has not accepted them', async () => {
      server.lost = 1
      await send()
      await clock.advance(5_000)
      assert.equal(server.sent, 2)
      assert.equal(outcome, SentOrders.TAKEN)
    })

    // Guards against a copy that is sent after the lease was lost (ONE).
    it('are not repeated once the permit has ended', async () => {
      await send()
      permit = undefined
      await clock.advance(5_000)
      assert.equal(server.sent, 1)
    })

    // Guards against a copy that is sent beside the order of another holder (ONE).
    it('are not repeated while an order of another holder may arrive', async () => {
      await send()
      arrivals.recordTold([['s1', -3_000, 'other@1']])
      await clock.advance(5_000)
      assert.equal(server.sent, 1)
    })
  })

  // Guards against an order that is sent although another holder has told of its own during the wait (ONE).
  it('wait for an order of another holder of which they learn while they wait for an earlier one', async () => {
    server.lost = 0
    arrivals.recordTold([['s1', -1_000, 'other@1']])
    await send()
    arrivals.recordTold([['s1', -3_000, 'other@1']])
    await clock.advance(2_500)
    assert.equal(server.sent, 0)
    await clock.advance(1_000)
    assert.equal(server.sent, 1)
  })
})
