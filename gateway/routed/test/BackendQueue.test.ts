import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { NeedAnswer, ResidencyClient } from '@pulleystack/placement.residency'
import { BackendFleet, type Backend, type BackendEntry } from '@pulleystack/routing.fleet'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { BackendPlace, BackendQueue } from '../src/index.js'
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
    excluded: new Set(),
    stream: createStreamProgress(undefined),
    signal: new AbortController().signal,
  } as unknown as RoutedWork
}

describe('places at backend servers', () => {
  let queue: BackendQueue
  let clock: ManualClock
  let answer: NeedAnswer
  let fleet: BackendFleet

  beforeEach(() => {
    clock = new ManualClock()
    answer = { coming: false, reason: '' }
    fleet = new BackendFleet()
    fleet.replaceAll([createEntry('a'), createEntry('b')])
    const residency = {
      requestWeights: () => Promise.resolve(answer),
      noteEnded: () => undefined,
    } as unknown as ResidencyClient
    queue = new BackendQueue({ clock, random: new RandomSource(1), fleet, residency, log: new SilentDecisionLog(), dataHall: 'z', policy: DEFAULT_POLICY })
  })

  describe('for an answer whose server is silent', () => {
    it('are found beside its own', async () => {
      const work = createWork('held')
      assert.equal(queue.hasPlaceBeside(work, await queue.acquire(work)), true)
    })

    it('are found also while a request waits for a model that no server holds', async () => {
      const work = createWork('held')
      const place = await queue.acquire(work)
      void queue.acquire(createWork('elsewhere')).catch(() => undefined)
      assert.equal(queue.size, 1)
      assert.equal(queue.hasPlaceBeside(work, place), true)
    })

    it('are not found where the request has failed before', async () => {
      const work = createWork('held')
      const place = await queue.acquire(work)
      work.excluded.add(place.backend.id === 'a' ? 'b' : 'a')
      assert.equal(queue.hasPlaceBeside(work, place), false)
    })
  })

  describe('for weights that no server holds', () => {
    const ask = (changes: Partial<RoutedWork>): Promise<unknown> => queue.acquire({ ...createWork('elsewhere'), ...changes }).catch((error: unknown) => error)

    it('are waited for when they come before the client leaves', async () => {
      answer = { coming: true, expectedMs: 5_000 }
      void ask({ deadline: 9_000 })
      await clock.advance(4_900)
      assert.equal(queue.size, 1)
    })

    it('are refused at once, with the time at which they come, when that is later', async () => {
      answer = { coming: true, expectedMs: 5_000 }
      const refused = await ask({ deadline: 4_000 })
      assert.ok(refused instanceof PulleystackError)
      assert.equal(refused.ran, Ran.NO)
      assert.ok((refused.retryAfterSeconds ?? 0) >= 4)
    })

    it('are refused at once when even a load that began now would end too late', async () => {
      answer = { coming: false, reason: '', earliestMs: 5_500 }
      assert.ok(await ask({ deadline: 5_000 }) instanceof PulleystackError)
      void ask({ deadline: 9_000 })
      await clock.advance(100)
      assert.equal(queue.size, 1)
    })

    it('are refused at once when nobody orders loads and the shortest one ends too late', async () => {
      const models = [{ name: 'elsewhere', loadSeconds: 5.5, diskSeconds: 1.2, memorySeconds: 0.6 }]
      const service = { ...createWork('elsewhere').service, serving: { cacheTokens: 100_000, batchSlots: 8, models } } as unknown as RoutedWork['service']
      assert.ok(await ask({ service, deadline: 5_000 }) instanceof PulleystackError)
      void ask({ service, deadline: 9_000 })
      await clock.advance(100)
      assert.equal(queue.size, 1)
    })

    it('are not waited for beyond the patience of the client', async () => {
      const route = { ...createWork('elsewhere').route, patienceMs: 2_000 }
      void ask({ route })
      await clock.advance(1_900)
      assert.equal(queue.size, 1)
      await clock.advance(200)
      assert.equal(queue.size, 0)
    })
  })

  describe('while all servers that hold the weights want rest', () => {
    const rest = (ms: number): void => fleet.listAll().forEach((backend) => void fleet.noteRetryAfter(backend, ms, clock.readTime()))

    it('are waited for until the first server takes requests again', async () => {
      rest(2_000)
      fleet.noteRetryAfter(fleet.find('b') as Backend, 3_000, clock.readTime())
      const waiting = queue.acquire(createWork('held'))
      await clock.advance(1_990)
      assert.equal(queue.size, 1)
      await clock.advance(20)
      assert.equal((await waiting).backend.id, 'a')
    })

    it('are refused at once, with the time at which the first one is back, when that is too late', async () => {
      rest(5_000)
      const refused = await queue.acquire({ ...createWork('held'), deadline: 4_000 }).catch((error: unknown) => error)
      assert.ok(refused instanceof PulleystackError)
      assert.equal(refused.code, 'OVERLOADED')
      assert.equal(refused.ran, Ran.NO)
      assert.ok((refused.retryAfterSeconds ?? 0) >= 4)
    })

    it('are handed out afterwards by the answers that come, and not to all at once', async () => {
      fleet.remove('b')
      rest(1_000)
      const places: BackendPlace[] = []
      for (let at = 0; at < 8; at++) void queue.acquire(createWork('held')).then((place) => places.push(place))
      await clock.advance(1_100)
      assert.equal(places.length, 1)
      places[0]?.noteAnswered()
      await clock.advance(1)
      assert.equal(places.length, 3)
      places.forEach((place) => place.noteAnswered())
      await clock.advance(1)
      assert.equal(places.length, 7)
    })

    it('are found at a server that holds the weights by then', async () => {
      rest(9_000)
      const waiting = queue.acquire(createWork('held'))
      await clock.advance(10)
      fleet.put(createEntry('c'))
      assert.equal((await waiting).backend.id, 'c')
    })
  })

  describe('when a request that is late waits for a place', () => {
    const fill = async (): Promise<BackendPlace[]> => Promise.all(Array.from({ length: 16 }, () => queue.acquire(createWork('held'))))

    it('are left to those at other instances that can still be in time', async () => {
      const places = await fill()
      const late = { ...createWork('held'), firstTriedAt: -6_000 }
      let hasPlace = false
      void queue.acquire(late).then(() => {
        hasPlace = true
      })
      await clock.advance(10)
      fleet.waiting.takeOther('other', [['s|held', 1]])
      places[0]?.end()
      await clock.advance(10)
      assert.equal(hasPlace, false)
      fleet.waiting.takeOther('other', [])
      queue.pump()
      await clock.advance(10)
      assert.equal(hasPlace, true)
    })

    it('are yielded to none once the others have heard that it became late as well', async () => {
      await fill()
      const { targetLatencyMs } = createWork('held').route
      void queue.acquire(createWork('held'))
      const told: [string, number][][] = []
      fleet.loadChanges.subscribe(() => told.push(fleet.waiting.listOwn()))
      await clock.advance(targetLatencyMs + 10)
      assert.equal(queue.size, 1)
      assert.deepEqual(told.at(-1), [])
    })

    it('are its own when it can still be in time', async () => {
      const places = await fill()
      fleet.waiting.takeOther('other', [['s|held', 1]])
      const waiting = queue.acquire(createWork('held'))
      await clock.advance(10)
      places[0]?.end()
      assert.ok(await waiting instanceof BackendPlace)
    })
  })
})
