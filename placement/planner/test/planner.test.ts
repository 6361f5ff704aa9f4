import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { checkProperty } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { computeAttainment, HysteresisPlanner, type Plan, type PlanCopy, type PlanGroup, type PlanInput, type PlanServer } from '../src/index.js'

function buildGroup (item: string, change: Partial<PlanGroup> = {}): PlanGroup {
  return { item, partner: 'p', bytes: 30, load: 0.1, minCopies: 1, maxCopies: 9, weight: 1, movePenalty: 1, ...change }
}

function buildServers (count: number, capacity = 100): PlanServer[] {
  return Array.from({ length: count }, (_, i) => ({ id: `s${i}`, dataHall: `h${i % 2}`, capacity, reserved: 0 }))
}

function createPlan (input: Partial<PlanInput> & Pick<PlanInput, 'groups' | 'servers'>): Plan {
  return new HysteresisPlanner().plan({ copies: [], quotas: {}, maxLoads: 100, maxMoves: 10, ...input })
}

function buildCopy (item: string, server: string): PlanCopy {
  return { item, server, ready: true }
}

describe('HysteresisPlanner', () => {
  it('gives every item a copy and spreads minimum copies over data halls', () => {
    const servers = buildServers(4)
    const plan = createPlan({ groups: [buildGroup('a', { minCopies: 2 }), buildGroup('b')], servers })
    const halls = plan.steps.filter((step) => step.item === 'a').map((step) => servers.find((it) => it.id === step.server)?.dataHall)
    assert.deepEqual(halls.sort(), ['h0', 'h1'])
    assert.equal(plan.steps.length, 3)
  })

  it('stops at the load limit while items are still below their minimum copies', () => {
    const groups = [buildGroup('a', { minCopies: 2 }), buildGroup('b', { minCopies: 2 }), buildGroup('c')]
    const plan = createPlan({ groups, servers: buildServers(4), maxLoads: 2 })
    assert.equal(plan.steps.length, 2)
  })

  it('moves nothing while no accelerator is overloaded', () => {
    const copies = [buildCopy('a', 's0'), buildCopy('b', 's0')]
    assert.deepEqual(createPlan({ groups: [buildGroup('a', { load: 0.4 }), buildGroup('b', { load: 0.4 })], servers: buildServers(3), copies }).steps, [])
  })

  it('keeps surplus copies until their memory is needed', () => {
    const copies = [buildCopy('a', 's0'), buildCopy('a', 's1')]
    assert.deepEqual(createPlan({ groups: [buildGroup('a', { load: 0 })], servers: buildServers(2), copies }).steps, [])
  })

  it('adds a copy to relieve an overloaded accelerator', () => {
    const plan = createPlan({ groups: [buildGroup('a', { load: 1.6 })], servers: buildServers(2), copies: [buildCopy('a', 's0')] })
    assert.deepEqual(plan.steps.map(({ action, server }) => [action, server]), [['load', 's1']])
  })

  it('requires a larger gain for a higher move penalty', () => {
    const input = { servers: buildServers(2), copies: [buildCopy('a', 's0')] }
    assert.equal(createPlan({ ...input, groups: [buildGroup('a', { load: 1.6, movePenalty: 1 })] }).steps.length, 1)
    assert.equal(createPlan({ ...input, groups: [buildGroup('a', { load: 1.6, movePenalty: 8 })] }).steps.length, 0)
  })

  it('evicts a spare copy, never a last one, to make room for an item without a copy', () => {
    const groups = [buildGroup('a', { bytes: 90 }), buildGroup('b', { bytes: 90 }), buildGroup('c', { bytes: 90 })]
    const copies = [buildCopy('a', 's0'), buildCopy('a', 's1'), buildCopy('b', 's2')]
    const plan = createPlan({ groups, servers: buildServers(3), copies })
    assert.equal(plan.steps.length, 1)
    assert.deepEqual([plan.steps[0]?.action, plan.steps[0]?.item], ['unload', 'a'])
  })

  it('reports items that fit on no accelerator', () => {
    const plan = createPlan({ groups: [buildGroup('a', { bytes: 90 }), buildGroup('b', { bytes: 90 })], servers: buildServers(1) })
    assert.equal(plan.unplaced.length, 1)
  })

  it('evicts copies of another partner only above its guaranteed share', () => {
    const quotas = { p: { share: 0.5, mayBorrow: true }, q: { share: 0.5, mayBorrow: true } }
    const groups = [buildGroup('pa', { bytes: 50, partner: 'p' }), buildGroup('qa', { bytes: 90, partner: 'q' }), buildGroup('qb', { bytes: 50, partner: 'q' })]
    const within = createPlan({ groups, servers: buildServers(2), quotas, copies: [buildCopy('pa', 's0'), buildCopy('pa', 's1'), buildCopy('qa', 's2')] })
    assert.ok(within.steps.every((step) => step.action === 'load' || step.item !== 'pa'), 'evicted a copy of p, which is within its share')
    const above = createPlan({
      groups: [...groups, buildGroup('pb', { bytes: 50, partner: 'p' })],
      servers: buildServers(2),
      quotas,
      copies: [buildCopy('pa', 's0'), buildCopy('pa', 's1'), buildCopy('pb', 's0'), buildCopy('qa', 's9')],
    })
    assert.ok(above.steps.some((step) => step.action === 'unload' && step.item === 'pa'))
  })

  it('unloads an old version only once the new one is ready', () => {
    const groups = [buildGroup('new'), buildGroup('old', { retiring: true, replacedBy: 'new', minCopies: 0, load: 0 })]
    const before = createPlan({ groups, servers: buildServers(1), copies: [buildCopy('old', 's0')] })
    assert.deepEqual(before.steps.map((step) => `${step.action} ${step.item}`), ['load new'])
    const after = createPlan({ groups, servers: buildServers(1), copies: [buildCopy('old', 's0'), buildCopy('new', 's0')] })
    assert.deepEqual(after.steps.map((step) => `${step.action} ${step.item}`), ['unload old'])
  })

  it('never exceeds the free memory of an accelerator or unloads the last copy of a wanted item', async () => {
    const group = fc.record({ bytes: fc.integer({ min: 1, max: 70 }), load: fc.double({ min: 0, max: 3, noNaN: true }), minCopies: fc.integer({ min: 1, max: 3 }), partner: fc.constantFrom('p', 'q') })
    const copy = fc.record({ group: fc.nat(7), server: fc.nat(4) })
    await checkProperty([fc.array(group, { minLength: 1, maxLength: 8 }), fc.array(copy, { maxLength: 12 })], (drawnGroups, drawnCopies) => {
      const groups = drawnGroups.map((it, i) => buildGroup(`i${i}`, it))
      const servers = buildServers(5)
      const copies: PlanCopy[] = []
      const usedBytes = new Map<string, number>()
      for (const { group: i, server } of drawnCopies) {
        const item = groups[i % groups.length] as PlanGroup
        const bytes = (usedBytes.get(`s${server}`) ?? 0) + item.bytes
        if (bytes > 100 || copies.some((it) => it.item === item.item && it.server === `s${server}`)) continue
        usedBytes.set(`s${server}`, bytes)
        copies.push(buildCopy(item.item, `s${server}`))
      }
      const plan = createPlan({ groups, servers, copies, quotas: { p: { share: 0.5, mayBorrow: true }, q: { share: 0.5, mayBorrow: false } } })
      checkPlan(plan, groups, copies, usedBytes)
    }, 300)
  })
})

function checkPlan (plan: Plan, groups: readonly PlanGroup[], copies: readonly PlanCopy[], usedBytes: Map<string, number>): void {
  const remaining = new Map(groups.map((group) => [group.item, copies.filter((copy) => copy.item === group.item).length]))
  for (const step of plan.steps) {
    const group = groups.find((it) => it.item === step.item) as PlanGroup
    if (step.action === 'unload') {
      remaining.set(step.item, (remaining.get(step.item) ?? 0) - 1)
      assert.ok((remaining.get(step.item) ?? 0) >= 1, `last copy of ${step.item} was unloaded`)
      continue
    }
    // Memory of unloaded copies is not free until the engine has confirmed it.
    usedBytes.set(step.server, (usedBytes.get(step.server) ?? 0) + group.bytes)
    assert.ok((usedBytes.get(step.server) ?? 0) <= 100, `${step.server} has ${usedBytes.get(step.server)} of 100 bytes in use`)
  }
}

describe('computeAttainment', () => {
  it('is 1 when no accelerator is overloaded', () => {
    assert.equal(computeAttainment([buildGroup('a', { load: 0.9 })], new Map([['a', ['s0']]])), 1)
  })

  it('balances the load of an item over its copies', () => {
    const groups = [buildGroup('a', { load: 1.5 }), buildGroup('b', { load: 0.5 })]
    assert.ok(computeAttainment(groups, new Map([['a', ['s0', 's1']], ['b', ['s1']]])) > 0.999)
  })

  it('counts demand for an item without a copy as not served', () => {
    assert.equal(computeAttainment([buildGroup('a', { load: 1 }), buildGroup('b', { load: 1 })], new Map([['a', ['s0']]])), 0.5)
  })
})
