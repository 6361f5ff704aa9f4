import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { InstanceRoles, type ListedInstance } from '@pulleystack/backend.interfaces'
import { createView } from '@pulleystack/tools.testing'
import { listNeighbours } from '../src/index.js'

function createFixture () {
  const clock = new ManualClock()
  return { clock, ...createView(clock, 'a', ['a', 'b', 'c']) }
}

function createIdentity (instance: string, overrides: { incarnation?: number, leaving?: boolean } = {}) {
  return { instance, incarnation: 1, address: 'x', peerAddress: 'y', region: 'r', dataHall: 'h', leaving: false, ...overrides }
}

describe('MembershipView', () => {
  it('excludes a suspected instance from the eligible ones', () => {
    const { view } = createFixture()
    view.recordSilent('b')
    assert.deepEqual(view.listEligible().map((member) => member.instance), ['a', 'c'])
  })

  it('clears a false suspicion when the instance is heard from', () => {
    const { view } = createFixture()
    view.recordSilent('b')
    view.recordHeard(createIdentity('b'))
    assert.equal(view.findMember('b')?.state, 'live')
  })

  it('accepts a rumour of suspicion until a higher incarnation refutes it', () => {
    const { view } = createFixture()
    assert.equal(view.applyRumour({ identity: createIdentity('b'), suspect: true }), true)
    assert.equal(view.applyRumour({ identity: createIdentity('b'), suspect: false }), false)
    assert.equal(view.findMember('b')?.state, 'suspect')
    assert.equal(view.applyRumour({ identity: createIdentity('b', { incarnation: 2 }), suspect: false }), true)
    assert.equal(view.findMember('b')?.state, 'live')
  })

  it('refutes a suspicion of itself', () => {
    const { view } = createFixture()
    const before = view.self.incarnation
    view.applyRumour({ identity: createIdentity('a', { incarnation: before }), suspect: true })
    assert.ok(view.self.incarnation > before)
    assert.equal(view.self.state, 'live')
  })

  it('excludes a leaving instance before the list shows that it leaves', () => {
    const { view } = createFixture()
    view.recordHeard(createIdentity('b', { incarnation: 2, leaving: true }))
    assert.equal(view.listEligible().some((member) => member.instance === 'b'), false)
  })

  it('keeps an instance that is not listed yet until it has not been heard from for some time', async () => {
    const { view, clock } = createFixture()
    view.recordHeard(createIdentity('new'))
    view.applyList([])
    assert.ok(view.findMember('new'))
    await clock.advance(20_000)
    view.applyList([])
    assert.equal(view.findMember('new'), undefined)
  })

  it('emits server changes only when servers have changed', () => {
    const { view } = createFixture()
    const server: ListedInstance = { id: 's', role: InstanceRoles.PLAIN, address: 'x', region: 'r', dataHall: 'h', leaving: false, labels: {} }
    let changes = 0
    view.serverChanges.subscribe(() => changes++)
    view.applyList([server])
    view.applyList([{ ...server }])
    view.applyList([{ ...server, leaving: true }])
    assert.equal(changes, 2)
  })
})

describe('listNeighbours', () => {
  const names = Array.from({ length: 350 }, (_, i) => `entry-${i}`)

  it('limits the links per instance in a large system', () => {
    for (const name of names) assert.ok(listNeighbours(name, names.filter((it) => it !== name)).length <= 4)
  })

  it('connects all instances within a few hops', () => {
    const links = new Map(names.map((name) => [name, new Set<string>()]))
    for (const name of names) {
      for (const other of listNeighbours(name, names.filter((it) => it !== name))) {
        links.get(name)?.add(other)
        links.get(other)?.add(name)
      }
    }
    let reached = new Set([names[0] as string])
    let steps = 0
    while (reached.size < names.length && steps < 20) {
      reached = new Set([...reached, ...[...reached].flatMap((name) => [...links.get(name) ?? []])])
      steps++
    }
    assert.ok(steps <= 8, `${steps} steps`)
  })

  it('makes every instance a neighbour of another one', () => {
    const watched = new Set(names.flatMap((name) => listNeighbours(name, names.filter((it) => it !== name))))
    assert.equal(watched.size, names.length)
  })
})
