import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { err, ok, type Result } from 'neverthrow'
import { OrderAnswers, WeightsClient, type OrderAnswer, type WeightsOrder, type WeightsState, type WeightsTarget } from '@pulleystack/backend.interfaces'
import { RouteTable, type ModelServing } from '@pulleystack/config.routes'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { BackendFleet } from '@pulleystack/routing.fleet'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { MAX_TRANSIT_MS, ResidencyHolder, ServerLoads, type PlannedLoad } from '../src/index.js'
import { SERVING as SMALL_SERVING } from './RecordingServers.js'

const LOAD_MS = 4_000
const ORDER_TIMEOUT_MS = 350
const REPORT_TIMEOUT_MS = 600
/** Three sendings of an order without an answer. */
const SENDINGS_MS = 3 * ORDER_TIMEOUT_MS
/** From a failure to the next order: a request asks again after 250 ms, and reports lag by 160 ms. */
const NEXT_ORDER_MS = 500
const SIZES = { used: 60, old: 80, wanted: 72, other: 34 }
const SERVING: ModelServing = {
  ...SMALL_SERVING,
  models: Object.entries(SIZES).map(([name, weightsMb]) => {
    return { name, weightsMb, adapterMb: 1, adapters: 4, loadSeconds: LOAD_MS / 1_000, diskSeconds: 1.7, memorySeconds: 0.6 }
  }),
}

/** Orders to the first server that gets one go wrong. */
const Faults = {
  REFUSED: 'refused',
  LOST: 'lost',
  LATE: 'executed 3 s later',
  UNANSWERED: 'executed at once, without an answer to any sending',
  UNREADABLE: 'lost, with the reports of the server',
  FROZEN: 'never sent, as the server is frozen',
} as const
type Fault = typeof Faults[keyof typeof Faults]

class FaultyServers extends WeightsClient {
  readonly states = new Map(['r1', 'r2', 'r3'].map((id) => [id, { sequence: 0, busy: false, models: ['used', 'old'] }]))
  faultyId: string | undefined
  /** Most megabytes used at a server at any time. */
  maxUsedMb = 0
  accepted = 0

  constructor (private readonly clock: ManualClock, private readonly fault: Fault) {
    super()
  }

  override async readState ({ backendId }: WeightsTarget): Promise<Result<WeightsState, PulleystackError>> {
    if (this.fault === Faults.FROZEN) this.faultyId ??= backendId
    const isSilent = this.fault === Faults.FROZEN || this.fault === Faults.UNREADABLE
    if (isSilent && backendId === this.faultyId) return this.fail(REPORT_TIMEOUT_MS)
    const { models, ...state } = this.states.get(backendId) as { sequence: number, busy: boolean, models: string[] }
    return ok({ ...state, models: models.map((name) => ({ name, adapters: [] })), loadingAdapters: [], inMemory: [], onDisk: [] })
  }

  override async sendOrder ({ backendId }: WeightsTarget, order: WeightsOrder): Promise<Result<OrderAnswer, PulleystackError>> {
    if (order.action === 'load') this.faultyId ??= backendId
    if (order.action !== 'load' || backendId !== this.faultyId) return ok(this.execute(backendId, order))
    if (this.fault === Faults.REFUSED) return ok(OrderAnswers.REJECTED)
    if (this.fault === Faults.UNANSWERED) this.execute(backendId, order)
    if (this.fault === Faults.LATE) this.clock.setTimer(3_000, () => this.execute(backendId, order))
    return this.fail(ORDER_TIMEOUT_MS)
  }

  private async fail (timeoutMs: number): Promise<Result<never, PulleystackError>> {
    await this.clock.wait(timeoutMs)
    return err(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'No response'))
  }

  private execute (id: string, { action, model, expectedSequence }: WeightsOrder): OrderAnswer {
    const server = this.states.get(id)
    if (!server || server.busy || server.sequence !== expectedSequence) return OrderAnswers.CONFLICT
    this.accepted++
    server.sequence++
    server.busy = true
    const usedMb = [...server.models, model].reduce((sum, name) => sum + SIZES[name as keyof typeof SIZES], 0)
    if (action === 'load') this.maxUsedMb = Math.max(this.maxUsedMb, usedMb)
    this.clock.setTimer(action === 'load' ? LOAD_MS : 50, () => {
      server.busy = false
      server.models = action === 'load' ? [...server.models, model] : server.models.filter((name) => name !== model)
    })
    return OrderAnswers.TAKEN
  }
}

/** Milliseconds until a model that is in demand is loaded on some server. */
async function measureLoad (fault: Fault): Promise<{ loadedMs: number, servers: FaultyServers }> {
  const clock = new ManualClock()
  const servers = new FaultyServers(clock, fault)
  const fleet = new BackendFleet()
  const refresh = (): void => servers.states.forEach(({ models }, id) => {
    fleet.put({ id, service: 's', address: `${id}:1`, dataHall: 'z', slots: 8, draining: false, models: models.map((name) => ({ name, adapters: [] })), inMemory: [], onDisk: [] })
  })
  refresh()
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const table = new RouteTable({ version: 1, routes: [], services: [{ name: 's', maxConnections: 10, serving: SERVING }], limits })
  const holder = new ResidencyHolder({ clock, fleet, weights: servers, log: new NullDecisionLog(), policy: DEFAULT_POLICY, readTable: () => table, readPermit: () => ({ holder: 'h', fence: 1, origin: 'expired', leftMs: 1_000 }), holderName: 'h@1', minHandoverGapMs: 0, onChange: refresh })
  holder.plan()
  await clock.advance(1_000)
  const startedAt = clock.readTime()
  let loadedMs = Infinity
  for (let tick = 0; tick < 80; tick++) {
    refresh()
    const counts = { wanted: 3, used: 4 }
    const demand = Object.entries(counts).map(([model, requests]) => ({ service: 's', model, adapter: undefined, requests, ended: requests, heldMs: 100 * requests, readTokens: 0, inHand: 1 }))
    holder.recordDemand('e1', { counts: demand, spanMs: 250 })
    holder.handleRequest({ service: 's', model: 'wanted', adapter: undefined, isMore: false, waitMs: 9_000 })
    await clock.advance(250)
    if (loadedMs === Infinity && [...servers.states.values()].some(({ models }) => models.includes('wanted'))) loadedMs = clock.readTime() - startedAt
  }
  return { loadedMs, servers }
}

describe('A load whose order', () => {
  // The unload that precedes a load takes 50 ms, and time is read in steps of 250 ms.
  const cases: [Fault, number][] = [
    [Faults.REFUSED, NEXT_ORDER_MS],
    [Faults.LOST, SENDINGS_MS + 1_000 + NEXT_ORDER_MS],
    [Faults.LATE, SENDINGS_MS + 1_000 + NEXT_ORDER_MS],
    [Faults.UNANSWERED, 0],
    [Faults.UNREADABLE, SENDINGS_MS + LOAD_MS + REPORT_TIMEOUT_MS + NEXT_ORDER_MS],
    [Faults.FROZEN, REPORT_TIMEOUT_MS + NEXT_ORDER_MS],
  ]
  for (const [fault, delayMs] of cases) {
    it(`is ${fault} completes soon, and never exceeds a server's memory`, async () => {
      const { loadedMs, servers } = await measureLoad(fault)
      assert.ok(loadedMs <= delayMs + LOAD_MS + 1_000, `loaded after ${loadedMs} ms`)
      assert.ok(servers.maxUsedMb <= SERVING.weightsMb, `${servers.maxUsedMb} MB used`)
    })
  }
})

describe('A load at a server that restarts under the same id', () => {
  it('stays recorded when a load of the former run ends, so that no second one is ordered', async () => {
    const clock = new ManualClock()
    const fleet = new BackendFleet()
    const restart = (): void => {
      fleet.remove('r1')
      fleet.put({ id: 'r1', service: 's', address: 'r1:1', dataHall: 'z', slots: 8, draining: false, models: [], inMemory: [], onDisk: [] })
    }
    restart()
    const weights = new FaultyServers(clock, Faults.LOST)
    const loads = new ServerLoads({ clock, fleet, weights, log: new NullDecisionLog(), readPermit: () => ({ holder: 'h', fence: 1, origin: 'expired', leftMs: 1_000 }), holderName: 'h@1', minHandoverGapMs: 0, onChange: () => undefined })
    const load: PlannedLoad = { server: 'r1', model: 'other', victims: [], loadMs: LOAD_MS, clearMs: 0, fromStore: true }
    let hasFirstEnded = false
    void loads.run(SERVING, load).then(() => hasFirstEnded = true)
    await clock.advance(1_000)
    restart()
    void loads.run(SERVING, load)
    while (!hasFirstEnded) await clock.advance(10)
    assert.equal(loads.size, 1)
  })
})

describe('The latest orders to servers, as told to a successor', () => {
  const SECOND_MS = 1_000
  let clock: ManualClock
  let fleet: BackendFleet
  let loads: ServerLoads
  const listOrdered = (): string[] => loads.listOrdered(3 * SECOND_MS).map(([backend]) => backend)

  beforeEach(async () => {
    clock = new ManualClock()
    fleet = new BackendFleet()
    fleet.put({ id: 'r1', service: 's', address: 'r1:1', dataHall: 'z', slots: 8, draining: false, models: [], inMemory: [], onDisk: [] })
    const weights = new FaultyServers(clock, Faults.UNANSWERED)
    loads = new ServerLoads({ clock, fleet, weights, log: new NullDecisionLog(), readPermit: () => ({ holder: 'h', fence: 1, origin: 'expired', leftMs: 1_000 }), holderName: 'h@1', minHandoverGapMs: 0, onChange: () => undefined })
    void loads.run(SERVING, { server: 'r1', model: 'other', victims: [], loadMs: LOAD_MS, clearMs: 0, fromStore: true })
    await clock.advance(100)
  })

  // Guards against a successor that isn't told of an order, since the server's entry has lapsed.
  it('outlast the entry of their server', () => {
    fleet.remove('r1')
    assert.deepEqual(listOrdered(), ['r1'])
  })

  // Guards against a successor that isn't told of an order of before the lease was taken again or from another holder, as with two hand-overs in a row.
  it('outlast the lease, and list those of earlier holders', async () => {
    loads.recordTold('other', [['r2', 0, 'other@1']])
    loads.begin(-Infinity, [])
    assert.deepEqual(listOrdered().sort(), ['r1', 'r2'])
    await clock.advance(3 * SECOND_MS + 2 * ORDER_TIMEOUT_MS)
    assert.deepEqual(listOrdered(), ['r1'], 'r1 has not answered')
    await clock.advance(MAX_TRANSIT_MS)
    assert.deepEqual(listOrdered(), [])
  })
})
