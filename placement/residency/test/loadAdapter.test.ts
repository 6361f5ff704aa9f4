import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ok, type Result } from 'neverthrow'
import { OrderAnswers, WeightsClient, type OrderAnswer, type WeightsOrder, type WeightsState, type WeightsTarget } from '@pulleystack/backend.interfaces'
import type { ModelServing } from '@pulleystack/config.routes'
import { ManualClock } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { loadAdapter } from '../src/loadAdapter.js'
import { OrderArrivals, ServerOrders } from '../src/index.js'

const SERVING: ModelServing = {
  batchSlots: 8,
  cacheTokens: 100_000,
  weightsMb: 200,
  adapterSlots: 2,
  loadsPerSecond: 10,
  models: [{ name: 'm', weightsMb: 60, adapterMb: 1, adapters: 4, loadSeconds: 0.1, diskSeconds: 0.1, memorySeconds: 0.1 }],
}

/** A server that unloads an adapter only when the requests that use it have ended. */
class BusyServer extends WeightsClient {
  readonly adapters = new Set(['a1', 'a2'])
  private sequence = 0
  overcommitted = false
  /** Called when an adapter has been unloaded. */
  onUnloaded: (adapter: string) => void = () => undefined
  /** Monotonic time until which requests use the adapters. */
  inUseUntil = 0

  constructor (private readonly clock: ManualClock) {
    super()
  }

  override async readState (): Promise<Result<WeightsState, PulleystackError>> {
    return ok({ sequence: this.sequence, busy: false, models: [{ name: 'm', adapters: [...this.adapters] }], loadingAdapters: [], inMemory: [], onDisk: [] })
  }

  override async sendOrder (_target: WeightsTarget, order: WeightsOrder): Promise<Result<OrderAnswer, PulleystackError>> {
    this.sequence++
    const adapter = order.adapter as string
    if (order.action === 'load') {
      if (this.adapters.size >= SERVING.adapterSlots) this.overcommitted = true
      this.adapters.add(adapter)
      return ok(OrderAnswers.TAKEN)
    }
    if (this.clock.readTime() >= this.inUseUntil) {
      this.adapters.delete(adapter)
      this.onUnloaded(adapter)
      return ok(OrderAnswers.HOLDS)
    }
    void this.clock.wait(this.inUseUntil - this.clock.readTime()).then(() => this.adapters.delete(adapter))
    return ok(OrderAnswers.TAKEN)
  }
}

describe('loadAdapter on a server without a free adapter slot', () => {
  let clock: ManualClock
  let server: BusyServer

  let addUnanswered: (state: WeightsState) => WeightsState

  const load = async (adapter: string): Promise<boolean> => {
    const orders = new ServerOrders({
      clock,
      weights: server,
      log: new NullDecisionLog(),
      backendId: 'r1',
      address: '127.0.0.1:1',
      readPermit: () => ({ holder: 'h', fence: 1, origin: 'expired', leftMs: 1_000 }),
      readNotBefore: () => -Infinity,
      arrivals: new OrderArrivals(clock, 'h@1'),
    })
    const loading = loadAdapter({ serving: SERVING, orders, readIdleMs: (name) => name === 'm/a1' ? 9 : 1, addUnanswered, onChange: () => undefined }, 'm', adapter)
    await clock.advance(12_000)
    return loading
  }

  beforeEach(() => {
    clock = new ManualClock()
    server = new BusyServer(clock)
    addUnanswered = (state) => state
  })

  it('unloads the least recently used adapter', async () => {
    assert.equal(await load('a3'), true)
    assert.deepEqual([...server.adapters].sort(), ['a2', 'a3'])
    assert.equal(server.overcommitted, false)
  })

  it('waits until the server reports that an adapter in use has been unloaded', async () => {
    server.inUseUntil = clock.readTime() + 1_500
    assert.equal(await load('a3'), true)
    assert.equal(server.overcommitted, false)
  })

  // Guards against an order that relies on the sequence number of one state and the adapters of another.
  it('unloads another adapter when the freed slot was taken meanwhile', async () => {
    server.onUnloaded = (adapter) => {
      if (adapter === 'a1') server.adapters.add('a9')
    }
    assert.equal(await load('a3'), true)
    assert.equal(server.overcommitted, false)
    assert.equal(server.adapters.size, 2)
  })

  // Guards against an adapter that is loaded by an order of before, in the slot that was meant for another one.
  it('leaves a slot to an adapter that an order without an answer may still load', async () => {
    addUnanswered = (state) => ({ ...state, loadingAdapters: ['m/a8'] })
    assert.equal(await load('a3'), true)
    assert.deepEqual([...server.adapters], ['a3'])
  })

  it('does not load the adapter when no slot is freed before the timeout', async () => {
    server.inUseUntil = clock.readTime() + 60_000
    assert.equal(await load('a3'), false)
    assert.equal(server.overcommitted, false)
  })
})
