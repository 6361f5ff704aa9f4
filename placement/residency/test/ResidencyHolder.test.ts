import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { RouteTable, type ModelServing } from '@pulleystack/config.routes'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock } from '@pulleystack/core.clock'
import { BackendFleet, type Backend } from '@pulleystack/routing.fleet'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { ResidencyHolder, type OrderPermit, type WeightsAnswer } from '../src/index.js'
import { RecordingServers, SERVING } from './RecordingServers.js'

interface Setup {
  clock: ManualClock
  servers: RecordingServers
  holder: ResidencyHolder
  models: readonly string[]
}

/** A holder for empty servers and as many models, of the given sizes in turn. */
function createHolder (count: number, sizesMb: readonly number[], loadSeconds: number, policy = DEFAULT_POLICY): Setup {
  const clock = new ManualClock()
  const servers = new RecordingServers(clock)
  const seconds = { loadSeconds, diskSeconds: loadSeconds, memorySeconds: loadSeconds }
  const models = Array.from({ length: count }, (_, at) => ({ name: `m${at}`, weightsMb: sizesMb[at % sizesMb.length] as number, adapterMb: 1, adapters: 0, ...seconds }))
  const serving: ModelServing = { ...SERVING, loadsPerSecond: 20, models }
  const fleet = new BackendFleet()
  for (let at = 0; at < count; at++) {
    servers.add(`r${at}`)
    fleet.put({ id: `r${at}`, service: 's', address: `r${at}:1`, dataHall: 'z', slots: 8, draining: false, models: [], inMemory: [], onDisk: [] })
  }
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  const table = new RouteTable({ version: 1, routes: [], services: [{ name: 's', maxConnections: 10, serving }], limits })
  const readPermit = (): OrderPermit => ({ holder: 'h', fence: 1, origin: 'expired', leftMs: 1_000 })
  const log = new NullDecisionLog()
  const sources = { readTable: () => table, readPermit, holderName: 'h@1', minHandoverGapMs: 0, onChange: () => undefined }
  const holder = new ResidencyHolder({ clock, fleet, weights: servers, log, policy, ...sources })
  return { clock, servers, holder, models: models.map((model) => model.name) }
}

describe('ResidencyHolder', () => {
  it('loads on as many servers concurrently as the weight store\'s rate allows after servers have restarted empty', async () => {
    const { clock, servers, holder, models } = createHolder(30, [60], 4)
    const counts = models.map((model) => ({ service: 's', model, adapter: undefined, requests: 10, ended: 0, heldMs: 0, readTokens: 0, inHand: 10 }))
    holder.recordDemand('e1', { counts, spanMs: 1_000 })
    for (let tick = 0; tick < 20; tick++) {
      holder.plan()
      await clock.advance(150)
    }
    const ordered = new Set(servers.received.map((order) => order.server))
    assert.ok(ordered.size > 20, `${ordered.size} servers got orders within three seconds`)
  })

  // Planned by slots and by the mean demand, a rate of 0.17 requests per second does not pay for a load of 8.6 s.
  it('loads a model of a heterogeneous service for a single request unless planning by capacity is switched off', async () => {
    const answer = async (sizesMb: readonly number[], capacityPlanning: boolean): Promise<boolean> => {
      const { clock, holder } = createHolder(2, sizesMb, 8.6, { ...DEFAULT_POLICY, capacityPlanning, demandTrend: false })
      holder.plan()
      await clock.advance(500)
      return holder.handleRequest({ service: 's', model: 'm0', adapter: undefined, isMore: false, waitMs: 12_000 }).coming
    }
    assert.deepEqual([await answer([60, 30], true), await answer([60, 30], false), await answer([60], true)], [true, false, false])
  })
})

describe('ResidencyHolder with servers of several software versions', () => {
  const REQUEST = { service: 's', model: 'd', adapter: undefined, isMore: false, waitMs: 9_000, dueMs: 5_000, priority: 0, requestId: 'q1' }

  for (const [kind, sizesMb] of Object.entries({ alike: [60, 60, 60, 60], heterogeneous: [60, 60, 60, 30] })) {
    describe(`for models that are ${kind}`, () => {
      let clock: ManualClock
      let servers: RecordingServers
      let fleet: BackendFleet
      let holder: ResidencyHolder

      const putServer = (id: string, softwareVersion: string, ...models: string[]): void => {
        servers.add(id, ...models)
        fleet.put({ id, softwareVersion, service: 's', address: `${id}:1`, dataHall: 'z', slots: 8, draining: false, models: models.map((name) => ({ name, adapters: [] })), inMemory: [], onDisk: [] })
      }

      beforeEach(async () => {
        clock = new ManualClock()
        servers = new RecordingServers(clock)
        fleet = new BackendFleet()
        putServer('old', 'v1', 'a')
        putServer('new1', 'v2', 'd')
        putServer('new2', 'v2')
        const models = SERVING.models.map((model, at) => ({ ...model, weightsMb: sizesMb[at] as number }))
        const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
        const table = new RouteTable({ version: 1, routes: [], services: [{ name: 's', maxConnections: 10, serving: { ...SERVING, models } }], limits })
        const readPermit = (): OrderPermit => ({ holder: 'h', fence: 1, origin: 'expired', leftMs: 1_000 })
        const log = new NullDecisionLog()
        const sources = { readTable: () => table, readPermit, holderName: 'h@1', minHandoverGapMs: 0, onChange: () => undefined }
        holder = new ResidencyHolder({ clock, fleet, weights: servers, log, policy: { ...DEFAULT_POLICY, capacityPlanning: true }, ...sources })
        holder.plan()
        await clock.advance(1_000)
      })

      it('loads a model for a stream on a server of the version that began it', async () => {
        assert.equal(holder.handleRequest({ ...REQUEST, softwareVersion: 'v1' }).coming, true)
        await clock.advance(1_000)
        assert.deepEqual(servers.received.map(({ server }) => server), ['old'])
      })

      it('loads nothing else there on that occasion', async () => {
        holder.recordDemand('e1', { counts: [{ service: 's', model: 'b', adapter: undefined, requests: 50, ended: 0, heldMs: 0, readTokens: 0, inHand: 50 }], spanMs: 1_000 })
        holder.handleRequest({ ...REQUEST, softwareVersion: 'v1' })
        await clock.advance(1_000)
        assert.deepEqual([...servers.stateById.get('old')?.models ?? []], ['a', 'd'])
      })

      it('takes copies at any version for help to other requests', async () => {
        assert.deepEqual(holder.handleRequest(REQUEST), { coming: true, expectedMs: 0 })
        await clock.advance(1_000)
        assert.deepEqual(servers.received, [])
      })

      it('does not announce loads at other versions to a stream', () => {
        assert.equal(holder.handleRequest({ ...REQUEST, model: 'b', requestId: 'q2', softwareVersion: 'v2' }).coming, true)
        fleet.remove('old')
        putServer('old', 'v1', 'a', 'c', 'd')
        fleet.recordRetryAfter(fleet.find('old') as Backend, 600_000, clock.readTime())
        for (const isMore of [false, true]) assert.equal(holder.handleRequest({ ...REQUEST, model: 'b', isMore, softwareVersion: 'v1' }).coming, false)
      })

      it('tells a stream whose version has no usable server that no load will come', () => {
        const answer = holder.handleRequest({ ...REQUEST, softwareVersion: 'v0' })
        assert.deepEqual([answer.coming, !answer.coming && answer.earliestMs], [false, Infinity])
      })

      // Guards against streams that are refused as often as their clients come until a new holder has made a plan that may unload models (LOST).
      it('leaves it undecided for a stream whether its model will be loaded until demand is known', async () => {
        putServer('old', 'v1', 'a', 'b', 'c')
        holder.begin(-Infinity)
        const answers: WeightsAnswer[] = []
        for (let at = 0; at < 6; at++) {
          answers.push(holder.handleRequest({ ...REQUEST, softwareVersion: 'v1' }))
          await clock.advance(100)
        }
        assert.deepEqual(answers.filter((answer) => !answer.coming && !answer.isUndecided), [])
      })

      // Guards against streams that are refused as each model at their version counts as lost there, though others have copies of it (LOST).
      it('unloads a model for a stream that servers of other versions have as well', async () => {
        for (const id of ['old', 'new2', 'new3', 'new4']) putServer(id, id === 'old' ? 'v1' : 'v2', 'a', 'b', 'c')
        const counts = ['a', 'b', 'c'].map((model) => ({ service: 's', model, adapter: undefined, requests: 4, ended: 4, heldMs: 800, readTokens: 0, inHand: 1 }))
        for (let at = 0; at < 5; at++) {
          holder.recordDemand('e1', { counts, spanMs: 1_000 })
          await clock.advance(1_000)
        }
        assert.equal(holder.handleRequest({ ...REQUEST, softwareVersion: 'v1' }).coming, true)
      })

      it('loads no copy at another version for a stream that waits', async () => {
        fleet.remove('new1')
        fleet.recordRetryAfter(fleet.find('old') as Backend, 600_000, clock.readTime())
        for (let at = 0; at < 10; at++) {
          holder.handleRequest({ ...REQUEST, softwareVersion: 'v1' })
          holder.plan()
          await clock.advance(100)
        }
        assert.deepEqual(servers.received.filter(({ server }) => server === 'new2'), [])
      })
    })
  }
})

describe('ResidencyHolder after a client was told when its model is loaded', () => {
  const SMALL_FIRST = [{ ...SERVING.models[0], weightsMb: 40 }, ...SERVING.models.slice(1)] as ModelServing['models']
  let clock: ManualClock
  let servers: RecordingServers
  let fleet: BackendFleet

  const putEntry = (): void => fleet.put({ id: 'r1', service: 's', address: 'r1:1', dataHall: 'z', slots: 8, draining: false, models: [...servers.stateById.get('r1')?.models ?? []].map((name) => ({ name, adapters: [] })), inMemory: [], onDisk: [] })
  const createHolder = (): ResidencyHolder => {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    const table = new RouteTable({ version: 1, routes: [], services: [{ name: 's', maxConnections: 10, serving: { ...SERVING, models: SMALL_FIRST } }], limits })
    return new ResidencyHolder({ clock, fleet, weights: servers, log: new NullDecisionLog(), policy: DEFAULT_POLICY, readTable: () => table, readPermit: () => ({ holder: 'h', fence: 1, origin: 'expired', leftMs: 1_000 }), holderName: 'h@1', minHandoverGapMs: 0, onChange: putEntry })
  }
  /** Lets the other models displace the loaded one; resolves with the milliseconds until they do. */
  const measureResidence = async (holder: ResidencyHolder): Promise<number> => {
    const startedAt = clock.readTime()
    for (; servers.stateById.get('r1')?.models.has('d') && clock.readTime() < startedAt + 20_000; await clock.advance(100)) {
      const counts = ['a', 'b', 'c'].map((model) => ({ service: 's', model, adapter: undefined, requests: 1, ended: 1, heldMs: 20, readTokens: 0, inHand: 0 }))
      holder.recordDemand('e1', { counts, spanMs: 100 })
      holder.plan()
    }
    return clock.readTime() - startedAt
  }

  beforeEach(() => {
    clock = new ManualClock()
    servers = new RecordingServers(clock)
    servers.add('r1', 'a', 'b')
    fleet = new BackendFleet()
    putEntry()
  })

  it('keeps the model for 5 s, so that the client finds it when it comes back', async () => {
    const holder = createHolder()
    holder.plan()
    await clock.advance(1_000)
    const answer = holder.handleRequest({ service: 's', model: 'd', adapter: undefined, isMore: false, waitMs: 9_000 })
    assert.equal(answer.coming, true)
    await clock.advance(1_000)
    assert.ok(servers.stateById.get('r1')?.models.has('d'))
    const residenceMs = await measureResidence(holder)
    assert.ok(residenceMs >= 3_900 && residenceMs < 19_000, `unloaded after ${residenceMs} ms`)
  })

  it('keeps a model whose load an earlier holder ordered', async () => {
    const holder = createHolder()
    putEntry()
    servers.stateById.get('r1')?.models.add('d')
    putEntry()
    const residenceMs = await measureResidence(holder)
    assert.ok(residenceMs >= 5_000 && residenceMs < 19_000, `unloaded after ${residenceMs} ms`)
  })
})

describe('ResidencyHolder while an order of an earlier holder may reach a server', () => {
  const IN_TRANSIT_MS = 8_000
  let clock: ManualClock
  let servers: RecordingServers
  let holder: ResidencyHolder

  const requestAdapter = (): WeightsAnswer => holder.handleRequest({ service: 's', model: 'a', adapter: 'a1', isMore: false, waitMs: 3_000 })

  const createHolder = (ids: readonly string[]): void => {
    const fleet = new BackendFleet()
    for (const id of ids) {
      servers.add(id, 'a')
      const models = [{ name: 'a', adapters: [] }]
      fleet.put({ id, service: 's', address: `${id}:1`, dataHall: 'z', slots: 8, draining: false, models, inMemory: [], onDisk: [] })
    }
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    const table = new RouteTable({ version: 1, routes: [], services: [{ name: 's', maxConnections: 10, serving: SERVING }], limits })
    const readPermit = (): OrderPermit => ({ holder: 'h', fence: 1, origin: 'expired', leftMs: 1_000 })
    const sources = { readTable: () => table, readPermit, holderName: 'h@1', minHandoverGapMs: 0, onChange: () => undefined }
    holder = new ResidencyHolder({ clock, fleet, weights: servers, log: new NullDecisionLog(), policy: DEFAULT_POLICY, ...sources })
    holder.recordTold('former', [['r1', -IN_TRANSIT_MS, 'former@1']])
    holder.begin(-Infinity)
  }

  beforeEach(() => {
    clock = new ManualClock()
    servers = new RecordingServers(clock)
  })

  // Guards against requests that wait for an adapter which the server can't be ordered to load in time.
  it('tells how long an adapter will take that no other server can load', () => {
    createHolder(['r1'])
    const answer = requestAdapter()
    assert.ok(answer.coming && answer.expectedMs >= IN_TRANSIT_MS, JSON.stringify(answer))
  })

  it('loads an adapter on another server that has the model', async () => {
    createHolder(['r1', 'r2'])
    const answer = requestAdapter()
    assert.ok(answer.coming && answer.expectedMs < 1_000, JSON.stringify(answer))
    await clock.advance(1_000)
    assert.deepEqual(servers.received.map(({ server }) => server), ['r2'])
  })
})
