import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import { InstanceRoles, type ListedInstance } from '@pulleystack/backend.interfaces'
import { createView } from '@pulleystack/tools.testing'
import { listNeighbours } from '../src/index.js'

function createBench () {
  const clock = new ManualClock()
  return { clock, ...createView(clock, 'a', ['a', 'b', 'c']) }
}

function identityOf (instance: string, change: { incarnation?: number, leaving?: boolean } = {}) {
  return { instance, incarnation: 1, address: 'x', peerAddress: 'y', region: 'r', dataHall: 'h', leaving: false, ...change }
}

describe('MembershipView', () => {
  it('lets an instance own nothing from the moment it is suspected', () => {
    const { view } = createBench()
    view.noteSilent('b')
    assert.deepEqual(view.listEligible().map((member) => member.instance), ['a', 'c'])
  })

  it('takes a false suspicion back when the instance is heard', () => {
    const { view } = createBench()
    view.noteSilent('b')
    view.noteHeard(identityOf('b'))
    assert.equal(view.findMember('b')?.state, 'live')
  })

  it('believes a rumour of suspicion until a higher incarnation contradicts it', () => {
    const { view } = createBench()
    assert.equal(view.applyRumour({ identity: identityOf('b'), suspect: true }), true)
    assert.equal(view.applyRumour({ identity: identityOf('b'), suspect: false }), false)
    assert.equal(view.findMember('b')?.state, 'suspect')
    assert.equal(view.applyRumour({ identity: identityOf('b', { incarnation: 2 }), suspect: false }), true)
    assert.equal(view.findMember('b')?.state, 'live')
  })

  it('contradicts a suspicion of itself', () => {
    const { view } = createBench()
    const before = view.self.incarnation
    view.applyRumour({ identity: identityOf('a', { incarnation: before }), suspect: true })
    assert.ok(view.self.incarnation > before)
    assert.equal(view.self.state, 'live')
  })

  it('gives a leaving instance no work while the list does not know yet', () => {
    const { view } = createBench()
    view.noteHeard(identityOf('b', { incarnation: 2, leaving: true }))
    assert.equal(view.listEligible().some((member) => member.instance === 'b'), false)
  })

  it('does not forget an instance that the list does not name yet while it is heard', async () => {
    const { view, clock } = createBench()
    view.noteHeard(identityOf('new'))
    view.applyList([])
    assert.ok(view.findMember('new'))
    await clock.advance(20_000)
    view.applyList([])
    assert.equal(view.findMember('new'), undefined)
  })

  it('tells of changes of backend servers only when there are any', () => {
    const { view } = createBench()
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

  it('keeps few links however many instances there are', () => {
    for (const name of names) assert.ok(listNeighbours(name, names.filter((it) => it !== name)).length <= 4)
  })

  it('lets what one instance tells reach all in a few steps', () => {
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

  it('has every instance watched by some other', () => {
    const watched = new Set(names.flatMap((name) => listNeighbours(name, names.filter((it) => it !== name))))
    assert.equal(watched.size, names.length)
  })
})
