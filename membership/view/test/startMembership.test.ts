import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { InstanceList, InstanceRoles, type ListedInstance } from '@pulleystack/backend.interfaces'
import { MemoryInstanceList } from '@pulleystack/emulator.stand-ins'
import { EventRing } from '@pulleystack/timeline.events'
import { createView } from '@pulleystack/tools.testing'
import { ListCopy } from '../src/ListCopy.js'
import { startMembership, type MembershipView } from '../src/index.js'

const SERVER: ListedInstance = { id: 's', role: InstanceRoles.PLAIN, address: 'x', region: 'r', dataHall: 'h', leaving: false, labels: {} }

class CountingList extends InstanceList {
  calls = 0

  constructor (private readonly inner: InstanceList) {
    super()
  }

  listInstances () {
    this.calls++
    return this.inner.listInstances()
  }
}

async function startFleet (count: number) {
  const clock = new ManualClock()
  const hub = new FakeHub({ clock, random: new RandomSource(2) })
  const memory = new MemoryInstanceList({ clock })
  const list = new CountingList(memory)
  const names = Array.from({ length: count }, (_, i) => `n${i}`)
  names.forEach((id, i) => memory.setInstance({ ...SERVER, id, role: InstanceRoles.ENTRY, address: id, peerAddress: id, dataHall: `hall-${i % 3}` }))
  const abort = new AbortController()
  const views: MembershipView[] = []
  for (const name of names) {
    const { view, identity } = createView(clock, name, names)
    views.push(view)
    const ring = new EventRing({ clock, instance: name, dataHall: 'h' })
    await startMembership({ clock, view, network: hub.createNode(identity), list, ring, listPollMs: 1_000 }, abort.signal)
  }
  return { clock, memory, list, views, stop: () => abort.abort() }
}

describe('startMembership', () => {
  it('informs every instance of a leaving server within two polls, though few instances read the list', async () => {
    const fleet = await startFleet(20)
    fleet.memory.setInstance(SERVER)
    await fleet.clock.advance(2_500)
    fleet.memory.setLeaving('s')
    await fleet.clock.advance(2_500)
    assert.ok(fleet.views.every((view) => view.findServer('s')?.leaving === true))
    fleet.stop()
  })

  it('reads the list as often with 40 instances as with 12', async () => {
    const counts: number[] = []
    for (const size of [12, 40]) {
      const fleet = await startFleet(size)
      const before = fleet.list.calls
      await fleet.clock.advance(20_000)
      counts.push(fleet.list.calls - before)
      fleet.stop()
    }
    assert.deepEqual(counts, [40, 40])
  })
})

describe('ListCopy', () => {
  it('ignores a late change that is older than the current entry', () => {
    const copy = new ListCopy()
    copy.apply({ asOf: 5, changed: [{ ...SERVER, leaving: true }], removed: [] })
    assert.equal(copy.apply({ asOf: 4, changed: [SERVER], removed: [] }), false)
    assert.equal(copy.list()[0]?.leaving, true)
  })

  it('does not restore a removed entry', () => {
    const copy = new ListCopy()
    copy.apply({ asOf: 4, changed: [SERVER], removed: [] })
    copy.apply({ asOf: 6, changed: [], removed: ['s'] })
    copy.apply({ asOf: 5, changed: [{ ...SERVER, leaving: true }], removed: [] })
    assert.deepEqual(copy.list(), [])
  })

  it('returns the changes of a read', () => {
    const copy = new ListCopy()
    assert.deepEqual(copy.replace([SERVER], 1)?.changed, [SERVER])
    assert.equal(copy.replace([SERVER], 2), undefined)
    assert.deepEqual(copy.replace([], 3)?.removed, ['s'])
  })
})
