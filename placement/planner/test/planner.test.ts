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

function run (input: Partial<PlanInput> & Pick<PlanInput, 'groups' | 'servers'>): Plan {
  return new HysteresisPlanner().plan({ copies: [], quotas: {}, maxLoads: 100, maxMoves: 10, ...input })
}

function place (item: string, server: string): PlanCopy {
  return { item, server, ready: true }
}

describe('HysteresisPlanner', () => {
  it('gives every item a copy, and minimum copies in different data halls', () => {
    const servers = buildServers(4)
    const plan = run({ groups: [buildGroup('a', { minCopies: 2 }), buildGroup('b')], servers })
    const halls = plan.steps.filter((step) => step.item === 'a').map((step) => servers.find((it) => it.id === step.server)?.dataHall)
    assert.deepEqual(halls.sort(), ['h0', 'h1'])
    assert.equal(plan.steps.length, 3)
  })

  it('ends when the bound on loads is reached before an item has its least copies', () => {
    const groups = [buildGroup('a', { minCopies: 2 }), buildGroup('b', { minCopies: 2 }), buildGroup('c')]
    const plan = run({ groups, servers: buildServers(4), maxLoads: 2 })
    assert.equal(plan.steps.length, 2)
  })

  it('leaves copies where they are while no accelerator is overloaded', () => {
    const copies = [place('a', 's0'), place('b', 's0')]
    assert.deepEqual(run({ groups: [buildGroup('a', { load: 0.4 }), buildGroup('b', { load: 0.4 })], servers: buildServers(3), copies }).steps, [])
  })

  it('keeps copies that are no longer needed until their room is', () => {
    const copies = [place('a', 's0'), place('a', 's1')]
    assert.deepEqual(run({ groups: [buildGroup('a', { load: 0 })], servers: buildServers(2), copies }).steps, [])
  })

  it('adds a copy where an overloaded accelerator is relieved', () => {
    const plan = run({ groups: [buildGroup('a', { load: 1.6 })], servers: buildServers(2), copies: [place('a', 's0')] })
    assert.deepEqual(plan.steps.map(({ action, server }) => [action, server]), [['load', 's1']])
  })

  it('moves less for a partner to whom moves are dearer', () => {
    const input = { servers: buildServers(2), copies: [place('a', 's0')] }
    assert.equal(run({ ...input, groups: [buildGroup('a', { load: 1.6, movePenalty: 1 })] }).steps.length, 1)
    assert.equal(run({ ...input, groups: [buildGroup('a', { load: 1.6, movePenalty: 8 })] }).steps.length, 0)
  })

  it('makes room for an item without a copy by giving up a spare copy, and never a last one', () => {
    const groups = [buildGroup('a', { bytes: 90 }), buildGroup('b', { bytes: 90 }), buildGroup('c', { bytes: 90 })]
    const copies = [place('a', 's0'), place('a', 's1'), place('b', 's2')]
    const plan = run({ groups, servers: buildServers(3), copies })
    assert.equal(plan.steps.length, 1)
    assert.deepEqual([plan.steps[0]?.action, plan.steps[0]?.item], ['unload', 'a'])
  })

  it('says which items have no room anywhere', () => {
    const plan = run({ groups: [buildGroup('a', { bytes: 90 }), buildGroup('b', { bytes: 90 })], servers: buildServers(1) })
    assert.equal(plan.unplaced.length, 1)
  })

  it('takes room only from a partner above its guaranteed share', () => {
    const quotas = { p: { share: 0.5, mayBorrow: true }, q: { share: 0.5, mayBorrow: true } }
    const groups = [buildGroup('pa', { bytes: 50, partner: 'p' }), buildGroup('qa', { bytes: 90, partner: 'q' }), buildGroup('qb', { bytes: 50, partner: 'q' })]
    const within = run({ groups, servers: buildServers(2), quotas, copies: [place('pa', 's0'), place('pa', 's1'), place('qa', 's2')] })
    assert.ok(within.steps.every((step) => step.action === 'load' || step.item !== 'pa'), 'p is within its share')
    const above = run({ groups: [...groups, buildGroup('pb', { bytes: 50, partner: 'p' })], servers: buildServers(2), quotas, copies: [place('pa', 's0'), place('pa', 's1'), place('pb', 's0'), place('qa', 's9')] })
    assert.ok(above.steps.some((step) => step.action === 'unload' && step.item === 'pa'))
  })

  it('retires an older version only once the new one is ready', () => {
    const groups = [buildGroup('new'), buildGroup('old', { retiring: true, replacedBy: 'new', minCopies: 0, load: 0 })]
    const before = run({ groups, servers: buildServers(1), copies: [place('old', 's0')] })
    assert.deepEqual(before.steps.map((step) => `${step.action} ${step.item}`), ['load new'])
    const after = run({ groups, servers: buildServers(1), copies: [place('old', 's0'), place('new', 's0')] })
    assert.deepEqual(after.steps.map((step) => `${step.action} ${step.item}`), ['unload old'])
  })

  it('never plans more bytes onto an accelerator than are free, and never takes a wanted item\'s last copy', async () => {
    const group = fc.record({ bytes: fc.integer({ min: 1, max: 70 }), load: fc.double({ min: 0, max: 3, noNaN: true }), minCopies: fc.integer({ min: 1, max: 3 }), partner: fc.constantFrom('p', 'q') })
    const copy = fc.record({ group: fc.nat(7), server: fc.nat(4) })
    await checkProperty([fc.array(group, { minLength: 1, maxLength: 8 }), fc.array(copy, { maxLength: 12 })], (drawn, placed) => {
      const groups = drawn.map((it, i) => buildGroup(`i${i}`, it))
      const servers = buildServers(5)
      const copies: PlanCopy[] = []
      const used = new Map<string, number>()
      for (const { group: i, server } of placed) {
        const item = groups[i % groups.length] as PlanGroup
        const bytes = (used.get(`s${server}`) ?? 0) + item.bytes
        if (bytes > 100 || copies.some((it) => it.item === item.item && it.server === `s${server}`)) continue
        used.set(`s${server}`, bytes)
        copies.push(place(item.item, `s${server}`))
      }
      const plan = run({ groups, servers, copies, quotas: { p: { share: 0.5, mayBorrow: true }, q: { share: 0.5, mayBorrow: false } } })
      checkPlan(plan, groups, copies, used)
    }, 300)
  })
})

function checkPlan (plan: Plan, groups: readonly PlanGroup[], copies: readonly PlanCopy[], used: Map<string, number>): void {
  const left = new Map(groups.map((group) => [group.item, copies.filter((copy) => copy.item === group.item).length]))
  for (const step of plan.steps) {
    const group = groups.find((it) => it.item === step.item) as PlanGroup
    if (step.action === 'unload') {
      left.set(step.item, (left.get(step.item) ?? 0) - 1)
      assert.ok((left.get(step.item) ?? 0) >= 1, `${step.item} lost its last copy`)
      continue
    }
    // Bytes of unloaded copies are not free until the engine says so.
    used.set(step.server, (used.get(step.server) ?? 0) + group.bytes)
    assert.ok((used.get(step.server) ?? 0) <= 100, `${step.server} would hold ${used.get(step.server)} of 100`)
  }
}

describe('computeAttainment', () => {
  it('is whole when every item has room', () => {
    assert.equal(computeAttainment([buildGroup('a', { load: 0.9 })], new Map([['a', ['s0']]])), 1)
  })

  it('splits an item\'s load over its copies', () => {
    const groups = [buildGroup('a', { load: 1.5 }), buildGroup('b', { load: 0.5 })]
    assert.ok(computeAttainment(groups, new Map([['a', ['s0', 's1']], ['b', ['s1']]])) > 0.999)
  })

  it('counts an item without a copy as not attained', () => {
    assert.equal(computeAttainment([buildGroup('a', { load: 1 }), buildGroup('b', { load: 1 })], new Map([['a', ['s0']]])), 0.5)
  })
})
