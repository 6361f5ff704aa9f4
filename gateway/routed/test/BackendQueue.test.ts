import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import type { ResidencyClient } from '@pulleystack/placement.residency'
import { BackendFleet, type BackendEntry } from '@pulleystack/routing.fleet'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { BackendQueue } from '../src/index.js'
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
    service: { name: 's', serving: { cacheTokens: 100_000, batchSlots: 8 } },
    generation: { model, adapter: undefined, promptTokens: 10, outputTokens: 10, parts: [] },
    isReturning: false,
    excluded: new Set(),
    stream: createStreamProgress(undefined),
    signal: new AbortController().signal,
  } as unknown as RoutedWork
}

describe('places at backend servers', () => {
  let queue: BackendQueue

  beforeEach(() => {
    const fleet = new BackendFleet()
    fleet.replaceAll([createEntry('a'), createEntry('b')])
    const residency = {
      requestWeights: () => Promise.resolve({ coming: false, reason: '' }),
      noteEnded: () => undefined,
    } as unknown as ResidencyClient
    queue = new BackendQueue({ clock: new ManualClock(), random: new RandomSource(1), fleet, residency, log: new SilentDecisionLog(), dataHall: 'z', policy: DEFAULT_POLICY })
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
})
