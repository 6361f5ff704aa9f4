import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { DecisionKinds, NullDecisionLog, WatchedDecisionLog, type DecisionFacts } from '@pulleystack/timeline.decisions'
import { Registry } from 'prom-client'
import { addOrderMetrics } from '../src/addOrderMetrics.js'

const SENT = { backend: 's1', action: 'load', model: 'm', adapter: undefined, order: 'o1', copy: 1, sequence: 0, fence: 1, origin: 'expired' }
const UNANSWERED = { order: 'o1', backend: 's1', ms: 350, reason: 'timeout' }

describe('metrics of orders', () => {
  let clock: ManualClock
  let log: WatchedDecisionLog
  let registry: Registry

  beforeEach(() => {
    clock = new ManualClock()
    log = new WatchedDecisionLog(new NullDecisionLog())
    registry = new Registry()
    addOrderMetrics(registry, { clock, log, defaultHoldOffMs: 3_000 })
  })

  function take (origin: string, heldOff: readonly unknown[]): void {
    log.record(DecisionKinds.LEASE_TAKEN, { fence: 2, origin, former: 'e1', heldOff } as DecisionFacts['lease-taken'])
  }

  it('count orders without an answer by whether anything was written', async () => {
    for (const written of [true, true, false, undefined]) log.record(DecisionKinds.ORDER_UNANSWERED, { ...UNANSWERED, written } as DecisionFacts['order-unanswered'])
    const text = await registry.metrics()
    assert.match(text, /^pulleystack_orders_unanswered_total\{written="true"\} 2$/m)
    assert.match(text, /^pulleystack_orders_unanswered_total\{written="false"\} 1$/m)
    assert.match(text, /^pulleystack_orders_unanswered_total\{written="unknown"\} 1$/m)
  })

  it('count how the lease was taken', async () => {
    for (const origin of ['expired', 'handed-over', 'expired']) take(origin, [])
    const text = await registry.metrics()
    assert.match(text, /^pulleystack_holder_changes_total\{origin="expired"\} 2$/m)
    assert.match(text, /^pulleystack_holder_changes_total\{origin="handed-over"\} 1$/m)
  })

  it('measure what is left of the permit, which an outage of the store makes negative', async () => {
    for (const permitMs of [-200, 80, 900]) log.record(DecisionKinds.ORDER_SENT, { ...SENT, permitMs })
    const text = await registry.metrics()
    assert.match(text, /^pulleystack_order_permit_seconds_bucket\{le="0"\} 1$/m)
    assert.match(text, /^pulleystack_order_permit_seconds_bucket\{le="0.1"\} 2$/m)
    assert.match(text, /^pulleystack_order_permit_seconds_bucket\{le="1"\} 3$/m)
  })

  describe('of servers that are left alone', () => {
    async function readLeftAlone (): Promise<number> {
      return Number(/^pulleystack_servers_left_alone (\d+)$/m.exec(await registry.metrics())?.[1])
    }

    it('count each until its time is over', async () => {
      take('expired', [['s1', 12_000], ['s2', 500]])
      assert.equal(await readLeftAlone(), 2)
      await clock.advance(500)
      assert.equal(await readLeftAlone(), 1)
      await clock.advance(11_500)
      assert.equal(await readLeftAlone(), 0)
    })

    it('count for the bound of the lease where the line does not tell how long', async () => {
      take('handed-over', ['s1', 's2'])
      await clock.advance(2_999)
      assert.equal(await readLeftAlone(), 2)
      await clock.advance(1)
      assert.equal(await readLeftAlone(), 0)
    })

    it('count none once the lease is lost or handed over', async () => {
      const lose = (): void => log.record(DecisionKinds.LEASE_LOST, { fence: 2 })
      const handOver = (): void => log.record(DecisionKinds.LEASE_HANDED_OVER, { fence: 2, ordered: [] })
      for (const end of [lose, handOver]) {
        take('expired', [['s1', 12_000]])
        assert.equal(await readLeftAlone(), 1)
        end()
        assert.equal(await readLeftAlone(), 0)
      }
    })
  })
})
