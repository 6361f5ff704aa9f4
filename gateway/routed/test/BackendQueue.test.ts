import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { WeightsAnswer, WeightsRequest, ResidencyClient } from '@pulleystack/placement.residency'
import { BackendFleet, type Backend, type BackendEntry } from '@pulleystack/routing.fleet'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { BackendSlot, BackendQueue } from '../src/index.js'
import { createStreamProgress } from '../src/relayStream.js'
import type { RoutedWork } from '../src/RoutedWork.js'

function createEntry (id: string): BackendEntry {
  return { id, service: 's', address: `${id}:1`, dataHall: 'z', slots: 8, draining: false, models: [{ name: 'held', adapters: [] }], inMemory: [], onDisk: [] }
}

function createWork (model: string): RoutedWork {
  return {
    requestId: model,
    arrivedAt: 0,
    deadline: 60_000,
    route: { name: 'r', priority: 0, targetLatencyMs: 5_000 },
    service: { name: 's', serving: { cacheTokens: 100_000, batchSlots: 8, models: [] } },
    generation: { model, adapter: undefined, promptTokens: 10, outputTokens: 10, parts: [] },
    firstTriedAt: 0,
    ...{ excluded: new Set(), deniedUntil: new Map(), stream: createStreamProgress(undefined) },
    signal: new AbortController().signal,
  } as unknown as RoutedWork
}

describe('BackendQueue', () => {
  let queue: BackendQueue
  let clock: ManualClock
  let weightsAnswer: WeightsAnswer
  let fleet: BackendFleet
  let onWeightsRequest: (request: WeightsRequest) => void

  beforeEach(() => {
    clock = new ManualClock()
    weightsAnswer = { coming: false, reason: '' }
    onWeightsRequest = () => undefined
    fleet = new BackendFleet()
    fleet.replaceAll([createEntry('a'), createEntry('b')])
    const residency = {
      requestWeights: (request: WeightsRequest) => {
        onWeightsRequest(request)
        return Promise.resolve(weightsAnswer)
      },
      recordEnded: () => undefined,
    } as unknown as ResidencyClient
    queue = new BackendQueue({ clock, random: new RandomSource(1), fleet, residency, log: new NullDecisionLog(), dataHall: 'z', policy: DEFAULT_POLICY })
  })

  describe('while a version is not recorded', () => {
    const acquireVersion = async (changes: object): Promise<string | undefined> => {
      const work = createWork('held')
      Object.assign(work.route, { streams: true, resumable: true, ...changes })
      const slot = await queue.acquire(work)
      slot.release()
      return slot.backend.entry.softwareVersion
    }

    beforeEach(() => {
      fleet.replaceAll([{ ...createEntry('a'), dataHall: 'other', softwareVersion: 'v1' }, { ...createEntry('b'), softwareVersion: 'v2' }])
      const origins = { listUnrecorded: (service: string) => service === 's' ? new Set(['v2']) : undefined }
      const residency = {} as unknown as ResidencyClient
      queue = new BackendQueue({ clock, random: new RandomSource(1), fleet, residency, origins, log: new NullDecisionLog(), dataHall: 'z', policy: DEFAULT_POLICY })
    })

    it('assigns new streams that may be taken up again to servers of others', async () => {
      assert.equal(await acquireVersion({}), 'v1')
    })

    it('assigns other requests as always', async () => {
      assert.equal(await acquireVersion({ resumable: false }), 'v2')
      assert.equal(await acquireVersion({ streams: false }), 'v2')
    })
  })

  describe('looking for a slot elsewhere', () => {
    it('finds one at another server', async () => {
      const work = createWork('held')
      assert.equal(queue.hasSlotElsewhere(work, await queue.acquire(work)), true)
    })

    it('finds one while another request waits for a model that no server holds', async () => {
      const work = createWork('held')
      const slot = await queue.acquire(work)
      void queue.acquire(createWork('elsewhere')).catch(() => undefined)
      assert.equal(queue.size, 1)
      assert.equal(queue.hasSlotElsewhere(work, slot), true)
    })

    it('finds none at a server where the request has failed before', async () => {
      const work = createWork('held')
      const slot = await queue.acquire(work)
      work.excluded.add(slot.backend.id === 'a' ? 'b' : 'a')
      assert.equal(queue.hasSlotElsewhere(work, slot), false)
    })
  })

  describe('when no server holds the weights', () => {
    const acquire = (changes: Partial<RoutedWork>): Promise<unknown> => queue.acquire({
      ...createWork('elsewhere'),
      ...changes,
    }).catch((error: unknown) => error)

    it('waits if they are expected before the deadline', async () => {
      weightsAnswer = { coming: true, expectedMs: 5_000 }
      void acquire({ deadline: 9_000 })
      await clock.advance(4_900)
      assert.equal(queue.size, 1)
    })

    it('rejects at once, with the expected time as retry delay, if they are expected after the deadline', async () => {
      weightsAnswer = { coming: true, expectedMs: 5_000 }
      const rejection = await acquire({ deadline: 4_000 })
      assert.ok(rejection instanceof PulleystackError)
      assert.equal(rejection.ran, Ran.NO)
      assert.ok((rejection.retryAfterSeconds ?? 0) >= 4)
    })

    it('rejects at once if a load started now would end after the deadline', async () => {
      weightsAnswer = { coming: false, reason: '', earliestMs: 5_500 }
      assert.ok(await acquire({ deadline: 5_000 }) instanceof PulleystackError)
      void acquire({ deadline: 9_000 })
      await clock.advance(100)
      assert.equal(queue.size, 1)
    })

    it('rejects at once if no load is ordered and the shortest possible one would end after the deadline', async () => {
      const models = [{ name: 'elsewhere', loadSeconds: 5.5, diskSeconds: 1.2, memorySeconds: 0.6 }]
      const service = { ...createWork('elsewhere').service, serving: { cacheTokens: 100_000, batchSlots: 8, models } } as unknown as RoutedWork['service']
      assert.ok(await acquire({ service, deadline: 5_000 }) instanceof PulleystackError)
      void acquire({ service, deadline: 9_000 })
      await clock.advance(100)
      assert.equal(queue.size, 1)
    })

    it('does not wait beyond the patience of the client', async () => {
      const route = { ...createWork('elsewhere').route, patienceMs: 2_000 }
      void acquire({ route })
      await clock.advance(1_900)
      assert.equal(queue.size, 1)
      await clock.advance(200)
      assert.equal(queue.size, 0)
    })
  })

  describe('while all servers that hold the weights are paused', () => {
    const pauseServers = (ms: number): void => fleet.listAll().forEach((backend) => void fleet.recordRetryAfter(backend, ms, clock.readTime()))

    it('waits until the pause of the first server ends', async () => {
      pauseServers(2_000)
      fleet.recordRetryAfter(fleet.find('b') as Backend, 3_000, clock.readTime())
      const waiting = queue.acquire(createWork('held'))
      await clock.advance(1_990)
      assert.equal(queue.size, 1)
      await clock.advance(20)
      assert.equal((await waiting).backend.id, 'a')
    })

    it('rejects at once, with the end of the first pause as retry delay, if that is too late', async () => {
      pauseServers(5_000)
      const rejection = await queue.acquire({ ...createWork('held'), deadline: 4_000 }).catch((error: unknown) => error)
      assert.ok(rejection instanceof PulleystackError)
      assert.equal(rejection.code, 'OVERLOADED')
      assert.equal(rejection.ran, Ran.NO)
      assert.ok((rejection.retryAfterSeconds ?? 0) >= 4)
    })

    it('assigns slots gradually after the pause, as responses arrive', async () => {
      fleet.remove('b')
      pauseServers(1_000)
      const slots: BackendSlot[] = []
      for (let at = 0; at < 8; at++) void queue.acquire(createWork('held')).then((slot) => slots.push(slot))
      await clock.advance(1_100)
      assert.equal(slots.length, 1)
      slots[0]?.recordResponse()
      await clock.advance(1)
      assert.equal(slots.length, 3)
      slots.forEach((slot) => slot.recordResponse())
      await clock.advance(1)
      assert.equal(slots.length, 7)
    })

    it('assigns a slot at another server that has come to hold the weights', async () => {
      pauseServers(9_000)
      const waiting = queue.acquire(createWork('held'))
      await clock.advance(10)
      fleet.put(createEntry('c'))
      assert.equal((await waiting).backend.id, 'c')
    })
  })

  // Guards against streams that break off because the instance to which they are forwarded takes them for new requests, and has no slot for these.
  describe('with a request that was forwarded, and can\'t be served in time', () => {
    const acquireLate = async (changes: Partial<RoutedWork>): Promise<string> => {
      const served = await queue.acquire(createWork('held'))
      await clock.advance(1_000)
      served.recordPrefilled()
      served.release()
      for (let count = 0; count < 16; count++) await queue.acquire(createWork('held'))
      const { route } = createWork('held')
      let outcome = 'waits'
      queue.acquire({ ...createWork('held'), route: { ...route, targetLatencyMs: 10 }, deadline: 2_500, ...changes }).catch((error: unknown) => {
        outcome = error instanceof PulleystackError ? error.code : String(error)
      })
      await clock.advance(100)
      return outcome
    }

    it('rejects it if its client has received nothing', async () => {
      assert.equal(await acquireLate({}), 'OVERLOADED')
    })

    it('lets it wait if its client has received a part of the response', async () => {
      assert.equal(await acquireLate({ hasBegunElsewhere: true }), 'waits')
    })
  })

  describe('with a request that continues a stream', () => {
    let asked: WeightsRequest[]
    const createPinned = (model: string, changes: Partial<RoutedWork> = {}): RoutedWork => ({ ...createWork(model), origin: { service: 's', version: 'v1' }, ...changes })
    const begin = (work: RoutedWork): RoutedWork => {
      work.stream.events = 3
      return work
    }
    const reject = async (work: RoutedWork): Promise<PulleystackError> => {
      const outcome = queue.acquire(work).then(() => undefined, (error: unknown) => error)
      let rejection: unknown
      void outcome.then((it) => {
        rejection = it
      })
      await clock.advance(1)
      assert.ok(rejection instanceof PulleystackError)
      assert.equal(rejection.ran, Ran.NO)
      return rejection
    }

    beforeEach(() => {
      asked = []
      onWeightsRequest = (request) => asked.push(request)
      fleet.replaceAll([{ ...createEntry('a'), softwareVersion: 'v1' }, { ...createEntry('b'), softwareVersion: 'v2' }])
    })

    it('assigns slots at servers of the version that began it only', async () => {
      const slots = await Promise.all(Array.from({ length: 8 }, () => queue.acquire(createPinned('held'))))
      assert.deepEqual([...new Set(slots.map(({ backend }) => backend.id))], ['a'])
      const work = createPinned('held')
      assert.equal(queue.hasSlotElsewhere(work, slots[0] as BackendSlot), false)
      const waiting = queue.acquire(work)
      await clock.advance(10)
      assert.equal(queue.size, 1)
      slots[0]?.release()
      assert.equal((await waiting).backend.id, 'a')
    })

    for (const events of [0, 3]) {
      const when = events > 0 ? 'of which the client has a part' : 'of another connection'

      it(`refuses a stream ${when} at once if its version is gone`, async () => {
        fleet.put({ ...createEntry('a'), softwareVersion: 'v1', draining: true })
        const work = createPinned('held')
        work.stream.events = events
        const { code, message, retryAfterSeconds = 0 } = await reject(work)
        assert.equal(code, 'NO_RUNNER')
        assert.equal(message, 'No server of software version "v1" is left to continue the stream')
        assert.ok(retryAfterSeconds >= 1)
      })

      it(`refuses a stream ${when} at once if the only server of its version failed it`, async () => {
        const work = createPinned('held', { excluded: new Set(['a']) })
        work.stream.events = events
        assert.equal((await reject(work)).code, 'NO_RUNNER')
      })

      it(`refuses a stream ${when} at once if no server of its version will hold the model`, async () => {
        weightsAnswer = { coming: false, reason: '', earliestMs: Infinity }
        const work = createPinned('elsewhere')
        work.stream.events = events
        const { code, retryAfterSeconds = Infinity } = await reject(work)
        assert.equal(code, 'NO_RUNNER')
        assert.ok(retryAfterSeconds <= 1.5, `retry after ${retryAfterSeconds} s`)
      })
    }

    it('refuses a stream that waits as soon as the last server of its version leaves', async () => {
      weightsAnswer = { coming: true, expectedMs: 5_000 }
      const outcome = queue.acquire(begin(createPinned('elsewhere'))).catch((error: unknown) => error)
      await clock.advance(100)
      assert.equal(queue.size, 1)
      fleet.remove('a')
      assert.match(String(await outcome), /No server of software version "v1"/)
    })

    it('lets a stream wait for a load that is announced', async () => {
      weightsAnswer = { coming: true, expectedMs: 2_000 }
      const waiting = queue.acquire(begin(createPinned('elsewhere')))
      await clock.advance(1_900)
      assert.equal(queue.size, 1)
      fleet.put({ ...createEntry('a'), softwareVersion: 'v1', models: [{ name: 'elsewhere', adapters: [] }] })
      assert.equal((await waiting).backend.id, 'a')
    })

    it('asks for weights at the version that began it, and for another copy there if the present ones failed it', async () => {
      fleet.put({ ...createEntry('c'), softwareVersion: 'v1', models: [] })
      void queue.acquire(createPinned('elsewhere')).catch(() => undefined)
      void queue.acquire(createPinned('held', { excluded: new Set(['a']) })).catch(() => undefined)
      void queue.acquire(createWork('other')).catch(() => undefined)
      await clock.advance(1)
      assert.deepEqual(asked.slice(0, 3).map(({ model, isMore, softwareVersion }) => [model, isMore, softwareVersion]), [['elsewhere', false, 'v1'], ['held', true, 'v1'], ['other', false, undefined]])
    })

    it('gives up a stream for which no load is planned soon, though other streams go on waiting', async () => {
      weightsAnswer = { coming: false, reason: '', earliestMs: 500 }
      const pinned = queue.acquire(begin(createPinned('elsewhere'))).catch((error: unknown) => error)
      void queue.acquire(begin(createWork('elsewhere'))).catch(() => undefined)
      await clock.advance(1_000)
      assert.equal((await pinned as PulleystackError).code, 'NO_RUNNER')
      assert.equal(queue.size, 1)
    })

    it('waits for the pauses of servers of its version only', async () => {
      fleet.recordRetryAfter(fleet.find('a') as Backend, 6_000, 0)
      fleet.recordRetryAfter(fleet.find('b') as Backend, 1_000, 0)
      const rejection = await reject(createPinned('held', { deadline: 4_000 }))
      assert.equal(rejection.code, 'OVERLOADED')
      assert.ok((rejection.retryAfterSeconds ?? 0) >= 4)
    })

    it('asks for weights anywhere and keeps waiting while all servers have its version', async () => {
      fleet.replaceAll(['a', 'b'].map((id) => ({ ...createEntry(id), softwareVersion: 'v1' })))
      const versions = new Set<string | undefined>()
      onWeightsRequest = ({ softwareVersion }) => versions.add(softwareVersion)
      const stream = { ...createStreamProgress(undefined), events: 3 }
      void queue.acquire(createPinned('elsewhere', { stream })).catch(() => undefined)
      await clock.advance(10_000)
      assert.equal(queue.size, 1)
      assert.deepEqual([...versions], [undefined])
    })

    it('is not rejected because of requests that wait for servers of any version', async () => {
      fleet.replaceAll([{ ...createEntry('a'), softwareVersion: 'v1' }, { ...createEntry('b'), softwareVersion: 'v2' }])
      const served = await queue.acquire(createWork('held'))
      await clock.advance(1_000)
      served.recordPrefilled()
      served.release()
      for (let count = 0; count < 16; count++) await queue.acquire(createWork('held'))
      for (let count = 0; count < 20; count++) void queue.acquire({ ...createWork('held'), arrivedAt: 1_000 }).catch(() => undefined)
      assert.equal(queue.size, 20)
      void queue.acquire(createPinned('held', { arrivedAt: 1_000, deadline: 4_500 })).catch(() => undefined)
      await clock.advance(0)
      assert.equal(queue.size, 21)
    })
  })

  describe('when requests wait for slots at several instances', () => {
    const fillServers = async (): Promise<BackendSlot[]> => Promise.all(Array.from({ length: 16 }, () => queue.acquire(createWork('held'))))

    it('lets an overdue request yield to requests elsewhere that can still meet their targets', async () => {
      const slots = await fillServers()
      const overdueWork = { ...createWork('held'), firstTriedAt: -6_000 }
      let hasSlot = false
      void queue.acquire(overdueWork).then(() => {
        hasSlot = true
      })
      await clock.advance(10)
      fleet.waiting.applyPeerCounts('other', [['s|held', 1]])
      slots[0]?.release()
      await clock.advance(10)
      assert.equal(hasSlot, false)
      fleet.waiting.applyPeerCounts('other', [])
      queue.assignSlots()
      await clock.advance(10)
      assert.equal(hasSlot, true)
    })

    it('announces that a waiting request has become overdue, so that others stop yielding to it', async () => {
      await fillServers()
      const { targetLatencyMs } = createWork('held').route
      void queue.acquire(createWork('held'))
      const announced: [string, number][][] = []
      fleet.loadChanges.subscribe(() => announced.push(fleet.waiting.listOwn()))
      await clock.advance(targetLatencyMs + 10)
      assert.equal(queue.size, 1)
      assert.deepEqual(announced.at(-1), [])
    })

    it('does not let a request yield that can still meet its target', async () => {
      const slots = await fillServers()
      fleet.waiting.applyPeerCounts('other', [['s|held', 1]])
      const waiting = queue.acquire(createWork('held'))
      await clock.advance(10)
      slots[0]?.release()
      assert.ok(await waiting instanceof BackendSlot)
    })
  })
})
