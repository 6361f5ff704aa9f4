import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import type { ModelServing } from '@pulleystack/config.routes'
import { computeCopyTargets, listLacking, planLoad, type ModelDemand, type PlanInput, type PlannedServer } from '../src/index.js'

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']
const SERVING: ModelServing = {
  batchSlots: 8,
  cacheTokens: 100_000,
  weightsMb: 190,
  adapterSlots: 4,
  loadsPerSecond: 2,
  models: NAMES.map((name) => ({ name, weightsMb: 60, adapterMb: 1, adapters: 4, loadSeconds: 4, diskSeconds: 0.8, memorySeconds: 0.4 })),
}

function createServer (id: string, models: string[], changes: Partial<PlannedServer> = {}): PlannedServer {
  return { id, models, inMemory: [], onDisk: [], busy: false, running: 0, fresh: [], heldMs: 0, ...changes }
}

function createInput (servers: PlannedServer[], rates: Record<string, number>): PlanInput {
  return { serving: SERVING, servers, readDemand: (model): ModelDemand => ({ rate: rates[model] ?? 0, idleMs: model in rates ? 100 : Infinity }) }
}

describe('the plan of residency', () => {
  it('gives a busy model more copies and every asked one at least one', () => {
    const servers = ['r1', 'r2', 'r3'].map((id) => createServer(id, []))
    const { wanted } = computeCopyTargets(createInput(servers, { a: 1.4, b: 0.1, c: 0.01 }))
    assert.equal(wanted.get('a'), 3)
    assert.equal(wanted.get('b'), 1)
    assert.equal(wanted.get('c'), 1)
  })

  it('deals the places as if each went to whatever gains most by it', () => {
    const rates = fc.dictionary(fc.constantFrom(...NAMES), fc.double({ min: 0, max: 6, noNaN: true }))
    fc.assert(fc.property(rates, fc.integer({ min: 1, max: 8 }), (rateOf, count) => {
      const servers = Array.from({ length: count }, (_, at) => createServer(`r${at}`, []))
      const { wanted } = computeCopyTargets(createInput(servers, rateOf))
      const copies = new Map(Object.keys(rateOf).map((name) => [name, 0]))
      const rateGain = (name: string): number => {
        const [rate, held] = [rateOf[name] as number, copies.get(name) as number]
        return held === 0 ? 0.02 + rate * 3 : held >= count ? 0 : rate / held - 0.5
      }
      for (let places = count * 3; places > 0; places--) {
        const [best] = [...copies.keys()].sort((a, b) => rateGain(b) - rateGain(a))
        if (best === undefined || rateGain(best) <= 0) break
        copies.set(best, (copies.get(best) as number) + 1)
      }
      const sum = (dealt: ReadonlyMap<string, number>): number => [...dealt.values()].reduce((total, held) => total + held, 0)
      assert.equal(sum(wanted), sum(copies))
      // Equal gains may go to either of two models.
      for (const [name, held] of copies) assert.ok(Math.abs((wanted.get(name) ?? 0) - held) <= 1)
    }))
  })

  it('loads from the place that is fastest', () => {
    const input = createInput([createServer('r1', []), createServer('r2', [], { onDisk: ['a'] }), createServer('r3', [], { inMemory: ['a'] })], { a: 0.1 })
    const load = planLoad(input, 'a', computeCopyTargets(input))
    assert.equal(load?.server, 'r3')
    assert.equal(load.fromStore, false)
  })

  it('removes what nobody asks for, and never the last copy of what somebody does', () => {
    const input = createInput([createServer('r1', ['a', 'b', 'c'])], { a: 0.3, b: 0.3, d: 0.3 })
    assert.deepEqual(planLoad(input, 'd', computeCopyTargets(input))?.victims, ['c'])
    const full = createInput([createServer('r1', ['a', 'b', 'c'])], { a: 0.3, b: 0.3, c: 0.3, d: 0.01 })
    assert.equal(planLoad(full, 'd', computeCopyTargets(full)), undefined)
  })

  it('leaves a model that has just come where it is', () => {
    const input = createInput([createServer('r1', ['a', 'b', 'c'], { fresh: ['c'] })], { a: 0.3, b: 0.3, d: 0.3 })
    assert.equal(planLoad(input, 'd', computeCopyTargets(input)), undefined)
  })

  it('does not add and remove by turns while the demand stands still', () => {
    for (const rate of [0.45, 0.55, 0.95, 1.05]) {
      const servers = ['r1', 'r2', 'r3'].map((id) => createServer(id, []))
      const input = createInput(servers, { a: rate })
      const { wanted, kept } = computeCopyTargets(input)
      assert.ok((kept.get('a') ?? 0) <= (wanted.get('a') ?? 0))
    }
  })

  it('puts the model with the busiest copies first', () => {
    const input = createInput([createServer('r1', ['a', 'b']), createServer('r2', []), createServer('r3', [])], { a: 0.9, b: 1.2, c: 0.4 })
    assert.deepEqual(listLacking(input, computeCopyTargets(input)).slice(0, 2), ['b', 'a'])
  })

  it('never plans more into a server than it holds, whatever the state', () => {
    const server = fc.record({ models: fc.uniqueArray(fc.constantFrom(...NAMES), { maxLength: 3 }), busy: fc.boolean() })
    const demand = fc.dictionary(fc.constantFrom(...NAMES), fc.double({ min: 0, max: 3, noNaN: true }))
    fc.assert(fc.property(fc.array(server, { minLength: 1, maxLength: 5 }), demand, (servers, rates) => {
      const input = createInput(servers.map(({ models, busy }, at) => createServer(`r${at}`, models, { busy })), rates)
      for (const model of NAMES) {
        const load = planLoad(input, model, computeCopyTargets(input))
        if (!load) continue
        const target = input.servers.find((it) => it.id === load.server) as PlannedServer
        const left = target.models.filter((name) => !load.victims.includes(name))
        assert.ok(!target.busy)
        assert.ok((left.length + 1) * 60 <= SERVING.weightsMb)
      }
    }), { numRuns: 300, seed: 9 })
  })
})
