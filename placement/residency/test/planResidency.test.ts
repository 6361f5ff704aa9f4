import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import type { ModelServing } from '@pulleystack/config.routes'
import { planLoad, type ModelDemand, type PlanInput, type PlannedLoad, type PlannedServer } from '../src/index.js'

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']
const HELD_MS = 2_000
const SERVING: ModelServing = {
  batchSlots: 40,
  cacheTokens: 100_000,
  weightsMb: 190,
  adapterSlots: 4,
  loadsPerSecond: 2,
  models: NAMES.map((name) => ({ name, weightsMb: 60, adapterMb: 1, adapters: 4, loadSeconds: 6, diskSeconds: 1.2, memorySeconds: 0.6 })),
}

function createServer (id: string, models: string[], changes: Partial<PlannedServer> = {}): PlannedServer {
  return { id, models, inMemory: [], onDisk: [], busyMs: 0, running: 0, fresh: [], heldMs: 0, ...changes }
}

/** Rates are requests a second; each holds its place for two seconds. Reading is the share of a server's time that their prompts take. */
function createInput (servers: PlannedServer[], rates: Record<string, number>, reading: Record<string, number> = {}): PlanInput {
  const readDemand = (model: string): ModelDemand => {
    const requestsPerSecond = rates[model] ?? 0
    const places = requestsPerSecond * HELD_MS / 1000
    const readingMs = (reading[model] ?? 0) * 1000
    return { requestsPerSecond, places, readingMs, heldMs: HELD_MS, idleMs: model in rates ? 100 : Infinity }
  }
  return { serving: SERVING, policy: DEFAULT_POLICY, servers, readDemand }
}

/** Carries planned loads out at once, until none is planned any more; gives them in order. */
function carryOutAll (input: PlanInput): PlannedLoad[] {
  const loads: PlannedLoad[] = []
  let servers = [...input.servers]
  while (loads.length < 40) {
    const load = planLoad({ ...input, servers }, true)
    if (!load) return loads
    loads.push(load)
    servers = servers.map((server) => server.id === load.server
      ? { ...server, models: [...server.models.filter((name) => !load.victims.includes(name)), load.model] }
      : server)
  }
  return loads
}

describe('the plan of residency', () => {
  describe('what is loaded', () => {
    it('is the model that loses the most requests', () => {
      const input = createInput([createServer('r1', ['a']), createServer('r2', [])], { a: 5, b: 3, c: 0.5 })
      assert.equal(planLoad(input, true)?.model, 'b')
    })

    it('is a further copy when requests for a model fill its servers, before a model that few ask for', () => {
      const input = createInput([createServer('r1', ['a']), createServer('r2', ['b'])], { a: 30, b: 0.1, c: 0.2 })
      const load = planLoad(input, true)
      assert.deepEqual([load?.model, load?.server], ['a', 'r2'])
    })

    it('is a further copy when a server does little but read the prompts for a model', () => {
      const servers = [createServer('r1', ['a']), createServer('r2', ['b'])]
      assert.equal(planLoad(createInput(servers, { a: 5, b: 0.1 }), true), undefined)
      const load = planLoad(createInput(servers, { a: 5, b: 0.1 }, { a: 1.2 }), true)
      assert.deepEqual([load?.model, load?.server], ['a', 'r2'])
    })

    it('is nothing when all that is asked for is served with room to spare', () => {
      const input = createInput([createServer('r1', ['a', 'b']), createServer('r2', ['a', 'c'])], { a: 5, b: 2, c: 2 })
      assert.equal(planLoad(input, true), undefined)
    })

    it('is nothing that the weight store would have to bring while it bears no more', () => {
      const input = createInput([createServer('r1', [])], { a: 5 })
      assert.equal(planLoad(input, true)?.fromStore, true)
      assert.equal(planLoad(input, false), undefined)
    })
  })

  describe('where it is loaded', () => {
    it('is the server that has it soonest', () => {
      const servers = [createServer('r1', []), createServer('r2', [], { onDisk: ['a'] }), createServer('r3', [], { inMemory: ['a'] })]
      const load = planLoad(createInput(servers, { a: 1 }), true)
      assert.equal(load?.server, 'r3')
      assert.equal(load.fromStore, false)
    })

    it('is not the weight store\'s business while a server that has it on disk is busy for a moment', () => {
      const servers = [createServer('r1', []), createServer('r2', [], { onDisk: ['a'], busyMs: 800 })]
      assert.equal(planLoad(createInput(servers, { a: 1 }), true), undefined)
      servers[1] = createServer('r2', [], { onDisk: ['a'], busyMs: 9_000 })
      assert.equal(planLoad(createInput(servers, { a: 1 }), true)?.server, 'r1')
    })

    it('is where fewer requests run, of two that have it equally soon', () => {
      const servers = [createServer('r1', ['b']), createServer('r2', ['c'])]
      assert.equal(planLoad(createInput(servers, { a: 5, b: 12, c: 1 }), true)?.server, 'r2')
    })
  })

  describe('beside a server that names a limit', () => {
    it('is a model whose only copy is there, when the limit takes less than is asked for', () => {
      const servers = [createServer('r1', ['a'], { limitPerSecond: 2 }), createServer('r2', []), createServer('r3', [])]
      const loads = carryOutAll(createInput(servers, { a: 10 }))
      assert.deepEqual(loads.map(({ model }) => model), ['a'])
      assert.notEqual(loads[0]?.server, 'r1')
      assert.deepEqual(carryOutAll(createInput(servers, { a: 1 })), [])
    })

    it('is not loaded where the limit leaves nothing', () => {
      const servers = [createServer('r1', [], { limitPerSecond: 0 }), createServer('r2', [], { heldMs: 900 })]
      assert.equal(planLoad(createInput(servers, { a: 5 }), true)?.server, 'r2')
    })
  })

  describe('what goes for it', () => {
    it('is what nobody asks for, and never what more requests would miss', () => {
      const input = createInput([createServer('r1', ['a', 'b', 'c'])], { a: 2, b: 2, d: 2 })
      assert.deepEqual(planLoad(input, true)?.victims, ['c'])
      const full = createInput([createServer('r1', ['a', 'b', 'c'])], { a: 2, b: 2, c: 2, d: 0.5 })
      assert.equal(planLoad(full, true), undefined)
    })

    it('is not a model that has just come', () => {
      const input = createInput([createServer('r1', ['a', 'b', 'c'], { fresh: ['c'] })], { a: 2, b: 2, d: 1 })
      assert.equal(planLoad(input, true), undefined)
    })

    it('is not the only copy that serves while another one is on its way', () => {
      const servers = [createServer('r1', ['a', 'b', 'c']), createServer('r2', ['a', 'e', 'f'], { loading: 'a', busyMs: 5_000, fresh: ['e', 'f'] })]
      const load = planLoad(createInput(servers, { a: 4, b: 4, c: 4, d: 1 }), true)
      assert.equal(load, undefined)
    })

    it('is what has fewer streams to wait for, of two that nobody would miss', () => {
      const servers = [createServer('r1', ['a', 'b', 'c']), createServer('r2', ['a', 'b'])]
      const load = planLoad(createInput(servers, { a: 6, b: 0.2, d: 6 }), true)
      assert.deepEqual(load?.victims, [])
      const tight = [createServer('r1', ['a', 'b', 'c'], { fresh: ['c'] }), createServer('r2', ['a', 'b', 'e'], { fresh: ['e', 'a', 'b'] })]
      assert.deepEqual(planLoad(createInput(tight, { a: 6, b: 0.2, c: 1, d: 6, e: 1 }), true)?.victims, ['b'])
    })
  })

  describe('over many loads', () => {
    const servers = fc.array(fc.record({
      models: fc.uniqueArray(fc.constantFrom(...NAMES), { maxLength: 3 }),
      busyMs: fc.constantFrom(0, 0, 500, 5_000),
      onDisk: fc.uniqueArray(fc.constantFrom(...NAMES), { maxLength: 3 }),
    }), { minLength: 1, maxLength: 5 })
    const rates = fc.dictionary(fc.constantFrom(...NAMES), fc.double({ min: 0, max: 30, noNaN: true }))

    it('never puts more into a server than it holds, and never orders a busy one', () => {
      fc.assert(fc.property(servers, rates, (states, rateOf) => {
        const input = createInput(states.map((state, at) => createServer(`r${at}`, state.models, state)), rateOf)
        const load = planLoad(input, true)
        if (!load) return
        const target = input.servers.find((server) => server.id === load.server) as PlannedServer
        const left = target.models.filter((name) => !load.victims.includes(name))
        assert.equal(target.busyMs, 0)
        assert.ok(!target.models.includes(load.model))
        assert.ok((left.length + 1) * 60 <= SERVING.weightsMb)
      }), { numRuns: 500, seed: 9 })
    })

    it('comes to an end while the demand stands still', () => {
      fc.assert(fc.property(servers, rates, (states, rateOf) => {
        const input = createInput(states.map((state, at) => createServer(`r${at}`, state.models, { onDisk: state.onDisk })), rateOf)
        assert.ok(carryOutAll(input).length < 40)
      }), { numRuns: 300, seed: 9 })
    })
  })
})
